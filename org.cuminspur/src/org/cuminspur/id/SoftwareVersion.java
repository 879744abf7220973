package org.cuminspur.id;

/**
 * Version of an upstream's software; versions have no order.
 *
 * <p>Immutable, with value equality; safe to share between threads.
 *
 * @param value the version, never blank
 */
public record SoftwareVersion(String value) {
    public SoftwareVersion {
        IdValidation.requireNonBlank(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
