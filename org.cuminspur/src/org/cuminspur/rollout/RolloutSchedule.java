package org.cuminspur.rollout;

/**
 * When the steps of a roll-out are due, in milliseconds since its order; immutable.
 *
 * <p>A version may turn bad late, so the canary lasts for most of the time. What remains is for the work that the other
 * versions have begun to end, and for the writes.
 *
 * @param promoteMillis when a version without a verdict against it is taken for good
 * @param latestPromoteMillis when this is decided on few answers, if there are no more until then
 * @param finishMillis when the roll-out must end, some time before the order's limit
 */
record RolloutSchedule(long promoteMillis, long latestPromoteMillis, long finishMillis) {
    /** Share of the time for the promotion. */
    private static final double PROMOTION_SHARE = 0.35;

    /** Longest promotion; most streams end sooner. */
    private static final long MAX_PROMOTION_MS = 15_000;

    /** Shortest promotion: all instances hear of it within the change bound, and a stream lasts seconds. */
    private static final long MIN_PROMOTION_MS = 4_000;

    /** Time for the last write before the limit; a lost reply is noticed within it. */
    private static final long FINISH_MARGIN_MS = 1_000;

    private static final double FINISH_MARGIN_SHARE = 0.1;

    static RolloutSchedule of(long durationMillis) {
        long promotion =
                (long) Math.max(MIN_PROMOTION_MS, Math.min(MAX_PROMOTION_MS, PROMOTION_SHARE * durationMillis));
        long promote = Math.max(durationMillis / 2, durationMillis - promotion);
        long finish = durationMillis - (long) Math.min(FINISH_MARGIN_MS, FINISH_MARGIN_SHARE * durationMillis);
        return new RolloutSchedule(promote, Math.max(promote, finish - RolloutDecision.MIN_PROMOTION_MS), finish);
    }
}
