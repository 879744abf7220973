package org.cuminspur.id;

/**
 * Identifies a chat within its client account, so that its requests go to the same upstream.
 *
 * <p>Immutable, with value equality; safe to share between threads.
 *
 * @param value the key, never blank
 */
public record ChatKey(String value) implements Comparable<ChatKey> {
    public ChatKey {
        IdValidation.requireNonBlank(value);
    }

    @Override
    public int compareTo(ChatKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
