package org.cuminspur.id;

/**
 * Names a service that routes send requests to.
 *
 * <p>Immutable, with value equality; safe to share between threads.
 *
 * @param value the name, never blank
 */
public record ServiceId(String value) implements Comparable<ServiceId> {
    public ServiceId {
        IdValidation.requireNonBlank(value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
