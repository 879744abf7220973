package org.cuminspur.once;

import java.util.Locale;

/** What a ledger counts; immutable. */
public enum IdempotencyEvent {
    /** A request was given the right to run. */
    CLAIMED,
    /** A request was answered from a record. */
    REPEATED,
    /** A request was refused because of a record, its key or its deadline. */
    REFUSED,
    /** A request was refused because the store could not be used. */
    REFUSED_STORE,
    /** A write's reply was lost and the record was read back. */
    SETTLED,
    /** A write whose effect stayed unknown was given up; it is fenced off later. */
    ABANDONED,
    /** A given-up write was fenced off, so that its key can be used again. */
    FENCED,
    /** An action's end was recorded. */
    FINISHED,
    /** An action's end could not be recorded; repeats are told that its outcome is unknown. */
    FINISH_LOST,
    /** Records past the window were deleted. */
    SWEPT,
    /** The floor refuses keys that this router's clock takes for young: a clock is wrong. */
    FLOOR_AHEAD,
    /** The store stopped answering. */
    STORE_DOWN,
    /** The store answers again. */
    STORE_UP;

    /** Returns the name used in metrics and logs, such as {@code store-down}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
