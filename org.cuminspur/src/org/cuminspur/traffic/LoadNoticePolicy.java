package org.cuminspur.traffic;

import java.util.Optional;

/**
 * Decides which load reports to pass on to the other instances.
 *
 * <p>Not thread-safe; confined to the traffic thread. In a large fleet an instance sends requests to one upstream so
 * seldom that its own reports are older than the load they state. Only loads over the limit are passed on, so the number
 * of notices grows with the number of overloaded upstreams, not with the fleet. The rate of notices in the whole fleet
 * is bounded, since an instance counts those it received as well as those it sent.
 */
public final class LoadNoticePolicy {
    /** Minimum time between notices of one upstream, by any instance; a fraction of how long a notice counts. */
    private static final long MIN_INTERVAL_MS = 200;

    /** Notices a second after which an instance sends no more. */
    private static final int MAX_PER_SECOND = 50;

    private static final long SECOND_MS = 1_000;

    private final SlidingWindowCounter noticesLastSecond = new SlidingWindowCounter(SECOND_MS, MAX_PER_SECOND);

    /**
     * Returns the notice to send of a load that an upstream has just reported, if any.
     *
     * @param limit load above which the upstream gets no requests with shared prompts
     */
    public Optional<LoadNotice> noticeOf(UpstreamState upstream, int load, double limit, long nowMillis) {
        if (load <= limit
                || upstream.noticeAgeMillis(nowMillis) < MIN_INTERVAL_MS
                || noticesLastSecond.count(nowMillis) >= MAX_PER_SECOND) {
            return Optional.empty();
        }
        record(upstream, load, nowMillis);
        return Optional.of(
                new LoadNotice(upstream.id(), upstream.entry().startedMillis(), Math.min(load, LoadNotice.MAX_LOAD)));
    }

    /** Applies a notice that was received about an upstream. */
    public void recordReceived(UpstreamState upstream, LoadNotice notice, long nowMillis) {
        if (notice.startedMillis() == upstream.entry().startedMillis()) {
            record(upstream, notice.load(), nowMillis);
        }
    }

    private void record(UpstreamState upstream, int load, long nowMillis) {
        noticesLastSecond.add(nowMillis);
        upstream.recordNotice(load, nowMillis);
    }
}
