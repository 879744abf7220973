package org.cuminspur.benchmarks.replay;

/**
 * What a replay brings about; immutable.
 *
 * @param load demand as a share of what the slots of all engines serve
 * @param reportLagMillis age of the load that engines report
 * @param lostShare share of reports, and of messages between routers, that are lost
 */
record Scenario(
        String name,
        int routers,
        int upstreams,
        int seconds,
        double load,
        long reportLagMillis,
        double lostShare,
        Fault fault) {
    private static final int SLOW_UPSTREAMS = 100;

    /** What happens to the engines in the course of the replay. */
    enum Fault {
        NONE,
        CHURN,
        SUDDEN_COLD,
        PLANNED_MOVE,
        UNANNOUNCED_LOSS,
        SURGE
    }

    /** Returns whether the replay takes minutes. */
    boolean slow() {
        return upstreams > SLOW_UPSTREAMS;
    }
}
