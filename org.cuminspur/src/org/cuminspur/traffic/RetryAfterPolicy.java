package org.cuminspur.traffic;

import java.util.function.DoubleSupplier;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;

/**
 * Tells refused callers when to come back, so that those refused together do not return together.
 *
 * <p>As thread-safe as its random source. The time follows what has to pass before the request can be served: another
 * instance is there at once, a start takes about half a second, an upstream's slot frees within a request's usual time.
 */
public final class RetryAfterPolicy {
    /** Another instance serves at once; the time only keeps callers from returning in one instant. */
    private static final long OTHER_INSTANCE_MS = 60;

    /** An instance reads the store within half a second of its start. */
    private static final long STARTUP_MS = 500;

    /** Short requests, which are those that a full upstream turns away, take a few tenths of a second. */
    private static final long FREE_SLOT_MS = 350;

    /** Returns lie between this part of the time and the whole of it. */
    private static final double MIN_FRACTION = 0.4;

    private final DoubleSupplier random;

    /**
     * Makes one.
     *
     * @param random uniform from 0 to 1
     */
    public RetryAfterPolicy(DoubleSupplier random) {
        this.random = random;
    }

    /** Returns a refusal of a kind with a time to come back. */
    public Refusal refusal(ErrorKind kind, String detail) {
        long maxMillis = switch (kind) {
            case STOPPING, VIEW_STALE -> OTHER_INSTANCE_MS;
            case NOT_READY -> STARTUP_MS;
            default -> FREE_SLOT_MS;
        };
        return new Refusal(kind, detail, (long) (maxMillis * (MIN_FRACTION + (1 - MIN_FRACTION) * random.getAsDouble())));
    }
}
