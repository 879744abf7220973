package org.cuminspur.id;

/**
 * Names one upstream: an engine or plain-service process behind the routers.
 *
 * <p>Immutable, with value equality; safe to share between threads.
 *
 * @param value the name, never blank
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
    public UpstreamId {
        IdValidation.requireNonBlank(value);
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
