package org.cuminspur.id;

import org.cuminspur.internal.hash.Rendezvous;

/**
 * Names a stream by the hash of the id of the request that brought its first event.
 *
 * <p>Immutable, with value equality; safe to share between threads.
 */
public record StreamId(long hash) {
    /** Returns the id of the stream that a request began. */
    public static StreamId ofRequest(String requestId) {
        return new StreamId(Rendezvous.hash(requestId));
    }
}
