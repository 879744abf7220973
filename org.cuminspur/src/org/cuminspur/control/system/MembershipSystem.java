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
 * Keeps the tables of routers and upstreams in step with the platform's list.
 *
 * <p>Used on the control thread only. A list that suddenly lacks most of the upstreams is more likely a fault of the
 * list than a loss of them all, so what it lacks is dropped only once it has stood for a while.
 */
public final class MembershipSystem implements ControlSystem {
    private static final long DOUBT_MS = 10_000;
    private static final double MIN_KEPT_SHARE = 0.5;

    private final ControlState state;
    private List<ListedInstance> doubted = List.of();
    private long doubtedSinceMillis = Long.MAX_VALUE;

    public MembershipSystem(ControlState state) {
        this.state = state;
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.on(ControlInput.InstancesListed.class, this::listed);
    }

    @Override
    public void tick(ControlStep turn) {
        if (doubtedSinceMillis != Long.MAX_VALUE && turn.now() - doubtedSinceMillis >= DOUBT_MS) {
            doubtedSinceMillis = Long.MAX_VALUE;
            replace(doubted.stream(), turn);
        }
    }

    private void listed(ControlInput.InstancesListed input, ControlStep turn) {
        doubted = input.instances();
        if (lacksMost(doubted)) {
            doubt(turn);
            replace(Stream.concat(held(), doubted.stream()), turn);
        } else {
            doubtedSinceMillis = Long.MAX_VALUE;
            replace(doubted.stream(), turn);
        }
    }

    private void doubt(ControlStep turn) {
        if (doubtedSinceMillis == Long.MAX_VALUE) {
            doubtedSinceMillis = turn.now();
            turn.reportChange(
                    "list-doubted", "it lacks most of " + state.upstreams().count() + " upstreams");
        }
    }

    private void replace(Stream<ListedInstance> instances, ControlStep turn) {
        long before = state.upstreams().count();
        state.replaceInstances(instances);
        long after = state.upstreams().count();
        if (before != after) {
            turn.reportChange("upstreams-listed", "from " + before + " to " + after);
        }
    }

    private Stream<ListedInstance> held() {
        return Stream.concat(
                state.peers().map(PeerRecord::listed), state.upstreams().map(UpstreamRecord::listed));
    }

    private boolean lacksMost(List<ListedInstance> instances) {
        Set<String> names = instances.stream().map(ListedInstance::name).collect(Collectors.toSet());
        long known = state.upstreams().count();
        long kept = state.upstreams()
                .filter(upstream -> names.contains(upstream.id().value()))
                .count();
        return kept < known * MIN_KEPT_SHARE;
    }
}
