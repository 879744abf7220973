package org.cuminspur.id;

/** Checks the texts that ids are made of; stateless and thread-safe. */
final class Names {
    private Names() {}

    static void requireName(String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("an id must not be blank");
        }
    }
}
