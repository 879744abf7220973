package org.cuminspur.balance;

import org.cuminspur.pace.Pace;

/** Naive: an upstream that has just started gets as many requests as the others. */
final class NoPace implements Pace {
    @Override
    public void begin(long nowMillis) {}

    @Override
    public boolean isPacing() {
        return false;
    }

    @Override
    public int limit(int slots, long nowMillis) {
        return slots;
    }

    @Override
    public void answered(double tookMillis, double peersMillis, int slots, long nowMillis) {}

    @Override
    public void failed(int slots, long nowMillis) {}
}
