package org.cuminspur.ratelimit;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.cuminspur.id.InstanceId;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.UpstreamState;

/** The policy of the product; not thread-safe. */
final class PermitPolicy implements LimitPolicy {
    private final RateLimits limits;
    private final PermitPlacement placement;

    PermitPolicy(NamedLimitSimulation run, NamedLimitSimulation.Instance instance) {
        limits = new RateLimits(
                instance.id,
                run.time().clock(),
                instance::schedule,
                new Random(instance.id.hashCode()),
                new RateLimits.Host() {
                    @Override
                    public void send(InstanceId to, PermitMessage message) {
                        run.deliver(instance, to, receiver -> receive(receiver, instance, message));
                    }

                    @Override
                    public void sendToAll(PermitMessage message) {
                        run.deliverToAll(instance, receiver -> receive(receiver, instance, message));
                    }
                });
        placement = new PermitPlacement(instance.placement(), limits, run.time().clock());
    }

    @Override
    public void responded(UpstreamState upstream, long sentMillis, Optional<NamedLimit> limit) {
        limits.recordResponse(upstream, sentMillis, limit);
    }

    @Override
    public void choose(
            List<UpstreamState> service, PromptPlacement.Criteria criteria, Consumer<Optional<UpstreamState>> result) {
        placement.choose(() -> service, criteria, chosen -> result.accept(chosen.map(PlacementDecision::upstream)));
    }

    @Override
    public void update(FleetView view) {
        limits.update(view);
    }

    private static void receive(
            NamedLimitSimulation.Instance receiver, NamedLimitSimulation.Instance from, PermitMessage message) {
        ((PermitPolicy) receiver.policy()).limits.receive(from.id, message);
    }
}
