package org.cuminspur.quarantine;

import java.util.List;
import java.util.stream.Stream;
import org.cuminspur.id.PromptPartId;

/** What of a request may crash upstreams: the shared parts of its prompt, and itself; not thread-safe. */
public final class Suspects {
    private final RequestIdentity identity;
    private final List<SuspectId> parts;

    /**
     * Creates the suspects of a request.
     *
     * @param sharedParts parts of its prompt that other requests may have too
     */
    public Suspects(RequestIdentity identity, List<PromptPartId> sharedParts) {
        this.identity = identity;
        this.parts = sharedParts.stream().map(SuspectId::of).toList();
    }

    /** Returns the shared parts of the prompt. */
    public List<SuspectId> parts() {
        return parts;
    }

    /** Returns the request itself; hashes its body at the first call. */
    public SuspectId request() {
        return SuspectId.of(identity);
    }

    /** Returns the part of the request's hash that needs no look at its body. */
    int prefix() {
        return identity.prefix();
    }

    /** Returns all suspects. */
    Stream<SuspectId> all() {
        return Stream.concat(Stream.of(request()), parts.stream());
    }

    /** Returns whether one of these is a suspect; hashes the body only for one that is like this request. */
    public boolean contains(SuspectId suspect) {
        return !suspect.isRequest()
                ? parts.contains(suspect)
                : RequestIdentity.prefix(suspect.hash()) == prefix() && suspect.equals(request());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Suspects suspects && identity.equals(suspects.identity) && parts.equals(suspects.parts);
    }

    @Override
    public int hashCode() {
        return identity.hashCode();
    }

    /** Returns the identity of the request and its parts, as logs state them. */
    @Override
    public String toString() {
        return identity + ":"
                + String.join(",", parts.stream().map(SuspectId::toString).toList());
    }
}
