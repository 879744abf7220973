package org.cuminspur.control.system;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ControlState;
import org.cuminspur.control.ControlStep;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.control.PeerRecord;
import org.cuminspur.control.UpstreamRecord;

/**
 * Synchronizes the known routers and upstreams with the platform's list.
 *
 * <p>Used on the control thread only. A list that suddenly lacks most of the upstreams is more likely a fault of the
 * list than a loss of them all, so missing instances are removed only if they are still missing after a delay.
 */
public final class MembershipSystem implements ControlSystem {
    private static final long INCOMPLETE_LIST_DELAY_MS = 10_000;
    private static final double MIN_KEPT_SHARE = 0.5;

    private final ControlState state;
    private List<ListedInstance> latestList = List.of();
    private long incompleteSinceMillis = Long.MAX_VALUE;

    public MembershipSystem(ControlState state) {
        this.state = state;
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.on(ControlInput.InstancesListed.class, this::onInstancesListed);
    }

    @Override
    public void tick(ControlStep step) {
        if (incompleteSinceMillis != Long.MAX_VALUE && step.now() - incompleteSinceMillis >= INCOMPLETE_LIST_DELAY_MS) {
            incompleteSinceMillis = Long.MAX_VALUE;
            replaceInstances(latestList.stream(), step);
        }
    }

    private void onInstancesListed(ControlInput.InstancesListed input, ControlStep step) {
        latestList = input.instances();
        if (lacksMostUpstreams(latestList)) {
            markIncomplete(step);
            replaceInstances(Stream.concat(knownInstances(), latestList.stream()), step);
        } else {
            incompleteSinceMillis = Long.MAX_VALUE;
            replaceInstances(latestList.stream(), step);
        }
    }

    private void markIncomplete(ControlStep step) {
        if (incompleteSinceMillis == Long.MAX_VALUE) {
            incompleteSinceMillis = step.now();
            step.reportChange(
                    "list-doubted",
                    "the list lacks most of " + state.upstreams().count() + " upstreams");
        }
    }

    private void replaceInstances(Stream<ListedInstance> instances, ControlStep step) {
        long before = state.upstreams().count();
        state.replaceInstances(instances);
        long after = state.upstreams().count();
        if (before != after) {
            step.reportChange("upstreams-listed", "from " + before + " to " + after);
        }
    }

    private Stream<ListedInstance> knownInstances() {
        return Stream.concat(
                state.peers().map(PeerRecord::listed), state.upstreams().map(UpstreamRecord::listed));
    }

    private boolean lacksMostUpstreams(List<ListedInstance> instances) {
        Set<String> names = instances.stream().map(ListedInstance::name).collect(Collectors.toSet());
        long knownCount = state.upstreams().count();
        long keptCount = state.upstreams()
                .filter(upstream -> names.contains(upstream.id().value()))
                .count();
        return keptCount < knownCount * MIN_KEPT_SHARE;
    }
}
