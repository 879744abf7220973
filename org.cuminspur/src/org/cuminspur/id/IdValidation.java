package org.cuminspur.id;

/** Validates the values of ids; stateless and thread-safe. */
final class IdValidation {
    private IdValidation() {}

    static void requireNonBlank(String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("an id must not be blank");
        }
    }
}
