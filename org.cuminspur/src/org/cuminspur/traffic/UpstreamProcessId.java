package org.cuminspur.traffic;

import org.cuminspur.internal.hash.Rendezvous;

/**
 * Names one start of an upstream's process by a hash of its id and start.
 *
 * <p>Immutable, with value equality; safe to share between threads.
 */
public record UpstreamProcessId(long hash) {
    /** Returns the id of the process that an entry states. */
    public static UpstreamProcessId of(UpstreamEntry entry) {
        return new UpstreamProcessId(Rendezvous.mix(Rendezvous.hash(entry.id().value()), entry.startedMillis()));
    }
}
