package org.cuminspur.id;

/**
 * Names one router process during its lifetime; a replacement gets a new name.
 *
 * <p>Immutable, with value equality; safe to share between threads.
 *
 * @param value the name, never blank
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    public InstanceId {
        IdValidation.requireNonBlank(value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
