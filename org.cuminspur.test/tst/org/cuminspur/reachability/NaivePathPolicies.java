package org.cuminspur.reachability;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.traffic.UpstreamEntry;

/** Policies that a checker must detect; not thread-safe. */
final class NaivePathPolicies {
    private NaivePathPolicies() {}

    /** Has no path but its own. */
    static PathPolicy ownPathOnly() {
        return new PathPolicy() {};
    }

    /** Tells the balancer that it is not ready while most connections fail. */
    static PathPolicy readinessOnly(CutSimulation world) {
        return new Failing(world) {
            @Override
            public boolean usesOwnPath(ServiceId service) {
                return true;
            }

            @Override
            public boolean ready() {
                return !fails(CutSimulation.BUSY);
            }
        };
    }

    /** Sends requests through any instance, whether it reaches the upstreams or not. */
    static PathPolicy anyRelay(CutSimulation world, SimulatedInstance self) {
        return new AnyRelay(world, self);
    }

    /** Lets a request go on to another instance as often as one is cut off. */
    static PathPolicy manyHops(CutSimulation world, SimulatedInstance self) {
        return new AnyRelay(world, self) {
            @Override
            public boolean passesOn() {
                return true;
            }
        };
    }

    /** Repeats each request that got no answer. */
    static PathPolicy repeatsAll(CutSimulation world, SimulatedInstance self) {
        return new AnyRelay(world, self) {
            @Override
            public boolean repeatsWhatMayHaveRun() {
                return true;
            }
        };
    }

    /** Takes two connections to a service that fail in a row for a cut of a while. */
    private static class Failing implements PathPolicy {
        private static final long FAILING_MS = 1_500;
        private final CutSimulation world;
        private ServiceId last;
        private int inRow;
        private long failedMillis = Long.MIN_VALUE / 2;

        Failing(CutSimulation world) {
            this.world = world;
        }

        @Override
        public void connected(UpstreamEntry upstream) {
            inRow = 0;
        }

        @Override
        public void connectFailed(UpstreamEntry upstream, long startedMillis) {
            inRow = upstream.service().equals(last) ? inRow + 1 : 1;
            last = upstream.service();
            failedMillis = inRow > 1 ? world.time().nowMillis() : failedMillis;
        }

        boolean fails(ServiceId service) {
            return service.equals(last) && world.time().nowMillis() - failedMillis < FAILING_MS;
        }

        @Override
        public boolean usesOwnPath(ServiceId service) {
            return !fails(service);
        }
    }

    private static class AnyRelay extends Failing {
        private final CutSimulation world;
        private final SimulatedInstance self;

        AnyRelay(CutSimulation world, SimulatedInstance self) {
            super(world);
            this.world = world;
            this.self = self;
        }

        @Override
        public Optional<InstanceId> relay(ServiceId service, Set<InstanceId> tried) {
            List<InstanceId> others = world.instances().stream()
                    .map(instance -> instance.id)
                    .filter(id -> !id.equals(self.id) && !tried.contains(id))
                    .toList();
            return others.isEmpty()
                    ? Optional.empty()
                    : Optional.of(others.get(world.random().nextInt(others.size())));
        }
    }
}
