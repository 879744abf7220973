package org.cuminspur.soak.internal;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** The part of prompts that crashes upstreams at present, if there is one; thread-safe. */
final class CrashingPart {
    /** First digits of the ids of such parts, by which upstreams know them. */
    private static final String PREFIX = "bad";

    private final AtomicReference<String> current = new AtomicReference<>();

    /** Begins with a part, instead of another one if there is one. */
    String begin(int number) {
        String part = PREFIX + Integer.toHexString(number);
        current.set(part);
        return part;
    }

    /** Ends with a part, unless another one has taken its place. */
    void end(String part) {
        current.compareAndSet(part, null);
    }

    Optional<String> current() {
        return Optional.ofNullable(current.get());
    }

    /** Returns the crashing part in the header that lists a prompt's parts, if there is one. */
    static Optional<String> in(String parts) {
        int start = parts.indexOf(PREFIX);
        return start < 0 ? Optional.empty() : Optional.of(parts.substring(start, parts.indexOf(':', start)));
    }
}
