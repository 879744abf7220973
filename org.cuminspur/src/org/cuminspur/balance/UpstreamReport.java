package org.cuminspur.balance;

import java.util.OptionalInt;

/**
 * What an upstream says of itself in a response; immutable.
 *
 * @param running requests running
 * @param waiting requests waiting for a slot
 * @param slots requests that it runs at a time, if it says so
 * @param speedPercent how long work takes there at the moment, 100 as usual, if it says so
 * @param tookMillis time from the request to the response, as its instance saw it, if the upstream ran the request
 */
public record UpstreamReport(
        int running, int waiting, OptionalInt slots, OptionalInt speedPercent, OptionalInt tookMillis) {
    /** More requests than any upstream holds; larger numbers are errors. */
    public static final int MAX_REQUESTS = 100_000;

    /** Work that takes a hundred times as long as usual; larger numbers are errors. */
    public static final int MAX_SPEED_PERCENT = 10_000;

    /** Longer than any request takes; larger numbers are errors. */
    static final int MAX_TOOK_MS = 600_000;

    /** Returns a report without figures that cannot be right. */
    public static UpstreamReport of(int running, int waiting, OptionalInt slots, OptionalInt speedPercent) {
        return new UpstreamReport(
                limit(running),
                limit(waiting),
                valid(slots, MAX_REQUESTS),
                valid(speedPercent, MAX_SPEED_PERCENT),
                OptionalInt.empty());
    }

    /** Returns this report on a response that took some time. */
    public UpstreamReport after(long tookMillis) {
        int millis = (int) Math.max(1, Math.min(MAX_TOOK_MS, tookMillis));
        return new UpstreamReport(running, waiting, slots, speedPercent, OptionalInt.of(millis));
    }

    private static int limit(int requests) {
        return Math.max(0, Math.min(MAX_REQUESTS, requests));
    }

    private static OptionalInt valid(OptionalInt figure, int max) {
        return figure.isPresent() && figure.getAsInt() > 0 && figure.getAsInt() <= max ? figure : OptionalInt.empty();
    }

    /** Returns the requests that it holds. */
    public int load() {
        return running + waiting;
    }
}
