package org.cuminspur.quarantine;

import org.cuminspur.id.PromptPartId;

/**
 * Names what may crash upstreams: a part of prompts, or one request in all its repeats.
 *
 * <p>Immutable, with value equality; safe to share between threads.
 *
 * @param isRequest whether it is a request, and no part
 * @param hash hash of the part's content or of the request's identity
 */
public record SuspectId(boolean isRequest, long hash) {
    public static SuspectId of(PromptPartId part) {
        return new SuspectId(false, part.hash());
    }

    public static SuspectId of(RequestIdentity request) {
        return new SuspectId(true, request.hash());
    }

    /** Returns the name in logs of what it is. */
    public String label() {
        return isRequest ? "request" : "prompt-part";
    }

    @Override
    public String toString() {
        return Long.toHexString(hash);
    }
}
