package org.cuminspur.id;

/**
 * Names a failure domain.
 *
 * <p>Immutable, with value equality; safe to share between threads.
 *
 * @param value the name, never blank
 */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {
    public FailureDomainId {
        IdValidation.requireNonBlank(value);
    }

    @Override
    public int compareTo(FailureDomainId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
