package org.cuminspur.traffic;

import java.util.ArrayDeque;
import java.util.Deque;

/** The requests that a simulated upstream holds, now and a short time ago; not thread-safe. */
final class SimulatedLoad {
    private record Change(long millis, int held) {}

    private final long reportAgeMillis;
    private final Deque<Change> history = new ArrayDeque<>();
    private int held;

    /**
     * Creates a load of 0.
     *
     * @param reportAgeMillis age of the load that the upstream reports
     */
    SimulatedLoad(long reportAgeMillis) {
        this.reportAgeMillis = reportAgeMillis;
    }

    int held() {
        return held;
    }

    void add(int requests, long nowMillis) {
        held += requests;
        history.add(new Change(nowMillis, held));
    }

    /** Returns the load to report now. */
    int reported(long nowMillis) {
        int reported = 0;
        while (!history.isEmpty() && history.element().millis() <= nowMillis - reportAgeMillis) {
            reported = history.remove().held();
        }
        history.addFirst(new Change(nowMillis - reportAgeMillis, reported));
        return reported;
    }
}
