package org.cuminspur.balance;

/**
 * What decides how long a request may wait for room, and which others go before it; immutable.
 *
 * @param priority rank among all requests, 0 is the most urgent
 * @param account hash of its client account, 0 if it has none
 * @param aimLeftMillis time until its response is late, negative if it is late already
 * @param limitLeftMillis time until nobody waits for its response
 * @param waitedMillis time that it has waited
 */
public record RequestTerms(int priority, int account, int aimLeftMillis, int limitLeftMillis, int waitedMillis) {
    /** Longest time in any direction; larger ones are errors. */
    static final int MAX_MILLIS = 3_600_000;

    public RequestTerms {
        priority = Math.max(0, Math.min(Byte.MAX_VALUE, priority));
        aimLeftMillis = bounded(aimLeftMillis);
        limitLeftMillis = bounded(limitLeftMillis);
        waitedMillis = Math.max(0, bounded(waitedMillis));
    }

    private static int bounded(long millis) {
        return (int) Math.max(-MAX_MILLIS, Math.min(MAX_MILLIS, millis));
    }

    /** Returns the terms of the same request some time later. */
    RequestTerms after(long millis) {
        return new RequestTerms(
                priority,
                account,
                bounded(aimLeftMillis - millis),
                bounded(limitLeftMillis - millis),
                bounded(waitedMillis + millis));
    }
}
