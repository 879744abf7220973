package org.cuminspur.traffic;

import java.util.EnumSet;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;

/**
 * Sets when refused callers may retry, with jitter so that callers refused together do not retry together.
 *
 * <p>As thread-safe as its random source. The time depends on what the caller waits for: another instance is available
 * at once, a start takes about half a second, and a slot of an upstream frees within the usual time of a request.
 */
public final class RetryAfterPolicy {
    /** Another instance is available at once; the time only spreads the retries. */
    private static final long OTHER_INSTANCE_MS = 60;

    /** An instance has read the store within half a second of its start. */
    private static final long STARTUP_MS = 500;

    /** Time in which a full upstream frees a slot: short requests take a few tenths of a second. */
    private static final long FREE_SLOT_MS = 350;

    /** Retry times are uniform between this fraction of the maximum and the maximum. */
    private static final double MIN_FRACTION = 0.4;

    /** Kinds whose refusals state the time after which a retry may succeed. */
    private static final Set<ErrorKind> STATED = EnumSet.of(ErrorKind.QUARANTINED, ErrorKind.OVERLOADED);

    private final DoubleSupplier random;

    /**
     * Creates a policy.
     *
     * @param random uniform from 0 to 1
     */
    public RetryAfterPolicy(DoubleSupplier random) {
        this.random = random;
    }

    /** Returns a refusal with a time after which the caller may retry, not before the one that it states if that is known. */
    public Refusal refusal(Refusal reason) {
        ErrorKind kind = reason.kind();
        if (STATED.contains(kind)) {
            double jitter = (1 - MIN_FRACTION) * random.getAsDouble();
            return new Refusal(kind, reason.detail(), (long) (reason.retryAfterMillis() * (1 + jitter)));
        }
        long maxMillis = switch (kind) {
            case STOPPING, VIEW_STALE -> OTHER_INSTANCE_MS;
            case NOT_READY -> STARTUP_MS;
            default -> FREE_SLOT_MS;
        };
        return new Refusal(
                kind, reason.detail(), (long) (maxMillis * (MIN_FRACTION + (1 - MIN_FRACTION) * random.getAsDouble())));
    }
}
