package org.cuminspur.once;

import java.util.Locale;

/** Events that an idempotency ledger reports for metrics and logs; immutable. */
public enum IdempotencyEvent {
    /** A request was granted the claim on its action. */
    CLAIMED,
    /** A request was answered with the stored answer. */
    REPEATED,
    /** A request was refused because of a record, its key or its deadline. */
    REFUSED,
    /** A request was refused because the store was down or too many claims were pending. */
    REFUSED_STORE,
    /** A write's reply was lost, but reading back showed that it took effect. */
    SETTLED,
    /** A claim was abandoned while one of its writes may still take effect; it is fenced off later. */
    ABANDONED,
    /** An abandoned claim was fenced off, so that its key can be used again. */
    FENCED,
    /** An action's outcome was recorded. */
    FINISHED,
    /** An action's outcome could not be recorded; repeats are told that it is unknown. */
    FINISH_LOST,
    /** Expired records were deleted. */
    SWEPT,
    /** The expiry floor refuses keys that are within the window by this router's clock: a clock is wrong. */
    FLOOR_AHEAD,
    /** The store was marked as unavailable. */
    STORE_DOWN,
    /** The store answers again. */
    STORE_UP;

    /** Returns the name used in metrics and logs, such as {@code store-down}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
