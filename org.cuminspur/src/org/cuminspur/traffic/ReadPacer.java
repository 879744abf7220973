package org.cuminspur.traffic;

import org.cuminspur.id.InstanceId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Delays reads of all keys, so that a fleet does not read at the same moment and a store that makes them needed again and
 * again gets few.
 *
 * <p>Confined to the timer thread.
 */
final class ReadPacer {
    /** A read that is needed sooner after the one before waits longer. */
    private static final long LASTING_READ_MS = 2_000;

    private static final long FIRST_DELAY_MS = 500;
    private static final long MAX_DELAY_MS = 1_000;

    private final double place;
    private long lastReadMillis = Long.MIN_VALUE / 2;
    private long delayMillis;

    ReadPacer(InstanceId self) {
        place = Rendezvous.toUnitInterval(Rendezvous.hash(self.value()));
    }

    /** Returns the delay of a read of all keys that is needed now. */
    long delay(long nowMillis, long spreadMillis) {
        boolean lasted = nowMillis - lastReadMillis >= LASTING_READ_MS;
        delayMillis = lasted ? 0 : Math.min(MAX_DELAY_MS, Math.max(FIRST_DELAY_MS, 2 * delayMillis));
        long delay = delayMillis + spread(spreadMillis);
        lastReadMillis = nowMillis + delay;
        return delay;
    }

    /** Returns this instance's own part of a time over which the fleet spreads its calls. */
    long spread(long millis) {
        return (long) (place * millis);
    }
}
