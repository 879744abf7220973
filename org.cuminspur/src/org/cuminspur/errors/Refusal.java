package org.cuminspur.errors;

/**
 * A request's failure as reported to the caller; immutable.
 *
 * @param kind what went wrong
 * @param detail further description; may be empty, never contains a key
 * @param retryAfterMillis delay before a retry; meaningful only if the kind has a Retry-After
 */
public record Refusal(ErrorKind kind, String detail, long retryAfterMillis) {
    /** Delay before a retry when no better estimate is known. */
    public static final long DEFAULT_RETRY_AFTER_MS = 1_000;

    /** Returns a refusal with the default delay. */
    public static Refusal of(ErrorKind kind, String detail) {
        return new Refusal(kind, detail, DEFAULT_RETRY_AFTER_MS);
    }

    /** Returns a refusal without detail. */
    public static Refusal of(ErrorKind kind) {
        return of(kind, "");
    }

    /** Returns the delay before a retry, rounded up to whole seconds; at least one. */
    public long retryAfterSeconds() {
        return Math.max(1, (retryAfterMillis + 999) / 1_000);
    }
}
