package org.cuminspur.traffic;

import org.cuminspur.time.Clock;

/**
 * Knows up to when this instance's view of the store is certain to be current.
 *
 * <p>Thread-safe. The age of a confirmation is the larger of what two clocks tell: the steady clock stands still while
 * the machine is suspended, and the wall clock may be set back. A wall clock that falls behind the steady one proves
 * nothing, so the view then counts as stale until it is confirmed anew.
 */
public final class ViewFreshness {
    /** Difference of the two clocks that counts as a step; more than they drift apart within one confirmation. */
    private static final long MAX_CLOCK_DRIFT_MS = 250;

    /** A moment on both clocks; immutable. */
    public record ClockReading(long steadyMillis, long wallMillis) {}

    private final Clock steadyClock;
    private final Clock wallClock;
    private volatile ClockReading lastConfirmed;

    /**
     * Makes one that knows nothing.
     *
     * @param steadyClock never goes back, but may stand still
     * @param wallClock the time of day, which may jump
     */
    public ViewFreshness(Clock steadyClock, Clock wallClock) {
        this.steadyClock = steadyClock;
        this.wallClock = wallClock;
    }

    /** Returns the present moment, to be taken before a read of the store begins. */
    public ClockReading now() {
        return new ClockReading(steadyClock.millis(), wallClock.millis());
    }

    /** Notes that the view holds all changes that the store had acknowledged at a moment. */
    public synchronized void confirm(ClockReading readStart) {
        if (lastConfirmed == null || readStart.steadyMillis() >= lastConfirmed.steadyMillis()) {
            lastConfirmed = readStart;
        }
    }

    /** Returns the age of the newest confirmation in milliseconds, or {@link Long#MAX_VALUE} if none is certain. */
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
