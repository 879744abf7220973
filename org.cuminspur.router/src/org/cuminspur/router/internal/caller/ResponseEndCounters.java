package org.cuminspur.router.internal.caller;

import java.util.Locale;
import org.cuminspur.http.client.BodyEnd;
import org.cuminspur.http.client.BodyFraming;

/** Names of the counters of how responses end, one for each framing and end; stateless and thread-safe. */
public final class ResponseEndCounters {
    private ResponseEndCounters() {}

    /** Returns the counter of an upstream's responses. */
    public static String upstream(BodyFraming framing, BodyEnd end) {
        return name("upstream", framing, end);
    }

    /** Returns the counter of responses to callers. */
    public static String caller(BodyFraming framing, BodyEnd end) {
        return name("caller", framing, end);
    }

    /** Returns the name of an enum value in log lines and counters. */
    public static String label(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String name(String side, BodyFraming framing, BodyEnd end) {
        return "responses." + side + "." + label(framing) + "." + label(end);
    }
}
