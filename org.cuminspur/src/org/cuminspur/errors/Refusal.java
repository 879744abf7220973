package org.cuminspur.errors;

/**
 * A request's failure as it is told to the caller; immutable.
 *
 * @param kind what went wrong
 * @param detail more for people, may be empty, never holds a key
 * @param retryAfterMillis when to come back; meaningful only if the kind says so
 */
public record Refusal(ErrorKind kind, String detail, long retryAfterMillis) {
    /** How long a caller is asked to stay away when nothing better is known. */
    public static final long DEFAULT_RETRY_AFTER_MS = 1_000;

    /** Returns a refusal with the default time to come back. */
    public static Refusal of(ErrorKind kind, String detail) {
        return new Refusal(kind, detail, DEFAULT_RETRY_AFTER_MS);
    }

    /** Returns a refusal without detail. */
    public static Refusal of(ErrorKind kind) {
        return of(kind, "");
    }

    /** Returns the time to come back in whole seconds, at least one. */
    public long retryAfterSeconds() {
        return Math.max(1, (retryAfterMillis + 999) / 1_000);
    }
}
