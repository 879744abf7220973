package org.cuminspur.traffic;

import org.cuminspur.time.Clock;

/**
 * Tracks when this instance's view of the store was last known to be current.
 *
 * <p>Thread-safe. The age of a confirmation is the larger of its ages by two clocks: the steady clock stops while the
 * machine is suspended, and the wall clock may be set back. If the wall clock falls behind the steady one, the age is
 * unknown and the view counts as stale until the next confirmation.
 */
public final class ViewFreshness {
    /** A wall clock that falls behind by more was set back; the clocks drift apart less between two confirmations. */
    private static final long MAX_CLOCK_DRIFT_MS = 250;

    /** A reading of both clocks; immutable. */
    public record ClockReading(long steadyMillis, long wallMillis) {}

    private final Clock steadyClock;
    private final Clock wallClock;
    private volatile ClockReading lastConfirmed;

    /**
     * Creates a tracker without a confirmation.
     *
     * @param steadyClock never goes back, but may stop
     * @param wallClock time of day, which may jump
     */
    public ViewFreshness(Clock steadyClock, Clock wallClock) {
        this.steadyClock = steadyClock;
        this.wallClock = wallClock;
    }

    /** Reads both clocks; call before a read of the store starts. */
    public ClockReading now() {
        return new ClockReading(steadyClock.millis(), wallClock.millis());
    }

    /** Records that the view includes all changes that the store had acknowledged when a read started. */
    public synchronized void confirm(ClockReading readStart) {
        if (lastConfirmed == null || readStart.steadyMillis() >= lastConfirmed.steadyMillis()) {
            lastConfirmed = readStart;
        }
    }

    /** Returns whether a read that started at a time or later, by the steady clock, has confirmed the view. */
    public boolean isConfirmedSince(long steadyMillis) {
        ClockReading last = lastConfirmed;
        return last != null && last.steadyMillis() >= steadyMillis;
    }

    /** Returns the age of the newest confirmation in milliseconds, {@link Long#MAX_VALUE} if unknown. */
    public long ageMillis() {
        ClockReading last = lastConfirmed;
        if (last == null) {
            return Long.MAX_VALUE;
        }
        long steadyAge = steadyClock.millis() - last.steadyMillis();
        long wallAge = wallClock.millis() - last.wallMillis();
        return wallAge < steadyAge - MAX_CLOCK_DRIFT_MS ? Long.MAX_VALUE : Math.max(steadyAge, wallAge);
    }
}
