package org.cuminspur.id;

/**
 * Names a client account.
 *
 * <p>Immutable, with value equality; safe to share between threads.
 *
 * @param value the name, never blank
 */
public record AccountId(String value) implements Comparable<AccountId> {
    public AccountId {
        IdValidation.requireNonBlank(value);
    }

    @Override
    public int compareTo(AccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
