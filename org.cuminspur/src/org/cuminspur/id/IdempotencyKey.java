package org.cuminspur.id;

/**
 * Identifies one action that must run at most once, unique within a client account and route.
 *
 * <p>Immutable, with value equality; safe to share between threads.
 *
 * @param value the key, never blank
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    public IdempotencyKey {
        IdValidation.requireNonBlank(value);
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
