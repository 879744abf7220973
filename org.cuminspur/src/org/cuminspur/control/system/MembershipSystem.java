package org.cuminspur.control.system;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.control.PeerRow;
import org.cuminspur.control.Tables;
import org.cuminspur.control.Turn;
import org.cuminspur.control.UpstreamRow;

/**
 * Keeps the tables of routers and upstreams in step with the platform's list.
 *
 * <p>Used on the control thread only. A list that suddenly lacks most of the upstreams is more likely a fault of the
 * list than a loss of them all, so what it lacks is dropped only once it has stood for a while.
 */
public final class MembershipSystem implements ControlSystem {
    private static final long DOUBT_MS = 10_000;
    private static final double MIN_KEPT_SHARE = 0.5;

    private final Tables tables;
    private long doubtfulSinceMillis = Long.MAX_VALUE;

    public MembershipSystem(Tables tables) {
        this.tables = tables;
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.on(ControlInput.InstancesListed.class, this::listed);
    }

    @Override
    public void tick(Turn turn) {}

    private void listed(ControlInput.InstancesListed input, Turn turn) {
        long before = tables.upstreams().count();
        boolean doubtful = doubtful(input.instances(), turn);
        tables.list(doubtful ? Stream.concat(held(), input.instances().stream()) : input.instances().stream());
        long after = tables.upstreams().count();
        if (before != after) {
            turn.changed("upstreams-listed", "from " + before + " to " + after);
        }
    }

    private Stream<ListedInstance> held() {
        return Stream.concat(
                tables.peers().map(PeerRow::listed), tables.upstreams().map(UpstreamRow::listed));
    }

    private boolean doubtful(List<ListedInstance> instances, Turn turn) {
        Set<String> names = instances.stream().map(ListedInstance::name).collect(Collectors.toSet());
        long known = tables.upstreams().count();
        long kept = tables.upstreams()
                .filter(row -> names.contains(row.id().value()))
                .count();
        if (kept >= known * MIN_KEPT_SHARE) {
            doubtfulSinceMillis = Long.MAX_VALUE;
            return false;
        }
        if (doubtfulSinceMillis == Long.MAX_VALUE) {
            doubtfulSinceMillis = turn.now();
            turn.changed("list-doubted", "it lacks " + (known - kept) + " of " + known + " upstreams");
        }
        return turn.now() - doubtfulSinceMillis < DOUBT_MS;
    }
}
