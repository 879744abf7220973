package org.cuminspur.benchmarks.replay;

import java.util.List;
import org.cuminspur.benchmarks.replay.Scenario.Fault;

/** The scenarios that are replayed, and the policies that each is replayed under; stateless. */
final class Scenarios {
    private static final int LARGE = 600;

    private Scenarios() {}

    static List<Scenario> all() {
        return List.of(
                new Scenario("steady-lag-0.5s", 6, 14, 300, 0.75, 500, 0, Fault.NONE),
                new Scenario("steady-lag-2s", 6, 14, 300, 0.75, 2_000, 0, Fault.NONE),
                new Scenario("steady-lag-2s-lost-20%", 6, 14, 300, 0.75, 2_000, 0.2, Fault.NONE),
                new Scenario("churn", 6, 14, 300, 0.6, 500, 0, Fault.CHURN),
                new Scenario("sudden-cold", 6, 14, 300, 0.6, 500, 0, Fault.SUDDEN_COLD),
                new Scenario("surge", 6, 14, 300, 0.6, 500, 0, Fault.SURGE),
                new Scenario("planned-move", 6, 14, 300, 0.6, 500, 0, Fault.PLANNED_MOVE),
                new Scenario("unannounced-loss", 6, 14, 300, 0.6, 500, 0, Fault.UNANNOUNCED_LOSS),
                new Scenario("middle-lag-0.5s", 60, 100, 90, 0.75, 500, 0, Fault.NONE),
                new Scenario("middle-lag-2s", 60, 100, 90, 0.75, 2_000, 0, Fault.NONE),
                new Scenario("large-lag-2s", 360, LARGE, 40, 0.75, 2_000, 0, Fault.NONE));
    }

    static List<String> policies(Scenario scenario) {
        return scenario.upstreams() < 100 ? Policies.names() : List.of("rendezvous", Policies.PLACEMENT);
    }
}
