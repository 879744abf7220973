package org.cuminspur.balance;

import org.cuminspur.pace.Pace;

/** Naive: an upstream that has just started gets a share that grows with time alone. */
final class FixedRamp implements Pace {
    private static final double RAMP_MS = 10_000;

    private long beganMillis = Long.MIN_VALUE / 2;
    private boolean pacing;

    @Override
    public void begin(long nowMillis) {
        beganMillis = nowMillis;
        pacing = true;
    }

    @Override
    public boolean isPacing() {
        return pacing;
    }

    @Override
    public int limit(int slots, long nowMillis) {
        double share = (nowMillis - beganMillis) / RAMP_MS;
        pacing = pacing && share < 1;
        return pacing ? Math.max(1, (int) (share * slots)) : slots;
    }

    @Override
    public void answered(double tookMillis, double peersMillis, int slots, long nowMillis) {}

    @Override
    public void failed(int slots, long nowMillis) {
        begin(nowMillis);
    }
}
