package org.cuminspur.id;

/** Checks the texts that ids are made of; stateless and thread-safe. */
final class IdValidation {
    private IdValidation() {}

    static void requireNonBlank(String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("an id must not be blank");
        }
    }
}
