package org.cuminspur.soak.internal;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** What crashes upstreams at present, if anything does: a part of prompts, or one request; thread-safe. */
final class CrashCause {
    /** First digits of the ids of parts that crash upstreams, by which upstreams know them. */
    private static final String PART_PREFIX = "bad";

    /** Start of the last path segment of requests that crash upstreams. */
    private static final String REQUEST_PREFIX = "fatal-";

    private final String prefix;
    private final AtomicReference<String> current = new AtomicReference<>();

    private CrashCause(String prefix) {
        this.prefix = prefix;
    }

    static CrashCause part() {
        return new CrashCause(PART_PREFIX);
    }

    static CrashCause request() {
        return new CrashCause(REQUEST_PREFIX);
    }

    /** Begins with a cause, instead of another one if there is one. */
    String begin(int number) {
        String cause = prefix + Integer.toHexString(number);
        current.set(cause);
        return cause;
    }

    /** Ends with a cause, unless another one has taken its place. */
    void end(String cause) {
        current.compareAndSet(cause, null);
    }

    Optional<String> current() {
        return Optional.ofNullable(current.get());
    }

    /** Returns the cause in a path, or in the header that lists a prompt's parts, if there is one. */
    static Optional<String> in(String path, String parts) {
        int request = path.indexOf(REQUEST_PREFIX);
        if (request >= 0) {
            return Optional.of(path.substring(request));
        }
        int part = parts.indexOf(PART_PREFIX);
        return part < 0 ? Optional.empty() : Optional.of(parts.substring(part, parts.indexOf(':', part)));
    }

    /** Returns the number of crashes after which the fleet must know a cause. */
    static int knownCrashes(String cause) {
        return cause.startsWith(REQUEST_PREFIX) ? CrashChecks.KNOWN_REQUEST_CRASHES : CrashChecks.KNOWN_PART_CRASHES;
    }
}
