package org.cuminspur.retry;

import org.cuminspur.traffic.TrafficBounds;
import org.cuminspur.traffic.UpstreamStanding;

/**
 * Decides when an attempt at an upstream that leaves is no longer waited for; stateless and thread-safe.
 *
 * <p>Load pattern: a release takes upstreams out one after the other, while the network holds back requests to some of them.
 * Bytes that a cut held back arrive seconds after it heals, when the upstream may be gone. A request that may be repeated is
 * served sooner elsewhere; one that may not is waited for, since silence does not show that it has not run.
 */
public final class LeavingUpstreamPolicy {
    /** Silence from which a request may not have arrived; a sound upstream may be silent for this long. */
    public static final long SILENCE_MS = 1_000;

    /** Share of the change bound that an upstream that leaves has to answer what was sent to it before. */
    private static final double ANSWER_SHARE = 0.25;

    private LeavingUpstreamPolicy() {}

    /**
     * Returns whether an attempt that may be repeated is given up.
     *
     * @param standingMillis how long the upstream's standing has been known
     * @param silentMillis time since the request was sent, without a byte of a response
     */
    public static boolean givesUp(
            TrafficBounds bounds, UpstreamStanding standing, long standingMillis, long silentMillis) {
        boolean leaves = standing == UpstreamStanding.LEAVING || standing == UpstreamStanding.GONE;
        return leaves && silentMillis >= SILENCE_MS && standingMillis >= ANSWER_SHARE * bounds.maxChangeDelayMillis();
    }
}
