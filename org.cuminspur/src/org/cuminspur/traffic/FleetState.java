package org.cuminspur.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.Revision;
import org.cuminspur.id.UpstreamId;

/**
 * Gathers what the store says into one view of the fleet.
 *
 * <p>Used by one thread. A configuration is replaced only by one with a higher revision. An upstream whose entry
 * vanished while the store was away, or soon after, stays until it had time to come back; one that said that it leaves
 * never counts again under the same start.
 */
public final class FleetState {
    /** An instance whose entry lapsed still counts for this long, since its lease may have lapsed in an outage. */
    private static final long INSTANCE_KEEP_MS = 10_000;

    private final Map<UpstreamId, UpstreamEntry> upstreams = new HashMap<>();
    private final Map<UpstreamId, Long> lapsedUntil = new HashMap<>();
    private final Map<InstanceId, Long> instances = new HashMap<>();
    private final Set<FailureDomainId> emptied = new HashSet<>();
    private HostRouteTable routes;

    /** Takes a fact; returns whether it changed anything. */
    public boolean apply(FleetUpdate fact, long nowMillis, long keepLapsedUntilMillis) {
        if (fact instanceof FleetUpdate.ConfigPublished published) {
            return publish(published.config());
        } else if (fact instanceof FleetUpdate.UpstreamUpdated seen) {
            return see(seen.entry());
        } else if (fact instanceof FleetUpdate.UpstreamRemoved gone) {
            return lapse(gone.id(), nowMillis, keepLapsedUntilMillis);
        } else if (fact instanceof FleetUpdate.DomainDrained out) {
            return emptied.add(out.domain());
        } else if (fact instanceof FleetUpdate.DomainRestored back) {
            return emptied.remove(back.domain());
        } else if (fact instanceof FleetUpdate.InstanceRegistered seen) {
            return instances.put(seen.id(), Long.MAX_VALUE) == null;
        } else if (fact instanceof FleetUpdate.InstanceRemoved gone) {
            instances.computeIfPresent(gone.id(), (id, until) -> Math.min(until, nowMillis + INSTANCE_KEEP_MS));
        }
        return false;
    }

    /** Drops what lapsed and did not come back in time; returns whether anything changed. */
    public boolean expire(long nowMillis) {
        boolean upstreamsChanged = lapsedUntil.entrySet().removeIf(lapsed -> {
            boolean over = lapsed.getValue() <= nowMillis;
            if (over) {
                upstreams.remove(lapsed.getKey());
            }
            return over;
        });
        return instances.values().removeIf(until -> until <= nowMillis) | upstreamsChanged;
    }

    /** Ends the wait for what lapsed while the store was away: at this time it is gone unless it is back. */
    public void expireLapsedBy(long untilMillis) {
        lapsedUntil.replaceAll((id, until) -> Math.min(until, untilMillis));
    }

    /** Returns the revision of the configuration in force, or {@link Revision#NONE}. */
    public Revision revision() {
        return routes == null ? Revision.NONE : routes.config().revision();
    }

    /** Returns the present view. */
    public FleetView view() {
        return new FleetView(
                Optional.ofNullable(routes),
                upstreams,
                emptied,
                instances.keySet().stream().sorted().toList(),
                Map.of());
    }

    private boolean publish(TrafficConfig config) {
        if (!config.revision().isNewerThan(revision())) {
            return false;
        }
        routes = new HostRouteTable(config);
        return true;
    }

    private boolean see(UpstreamEntry entry) {
        lapsedUntil.remove(entry.id());
        UpstreamEntry before = upstreams.get(entry.id());
        if (before != null && before.startedMillis() > entry.startedMillis()) {
            return false;
        }
        upstreams.put(entry.id(), entry);
        return !entry.equals(before);
    }

    private boolean lapse(UpstreamId id, long nowMillis, long keepUntilMillis) {
        UpstreamEntry before = upstreams.get(id);
        if (before == null) {
            return false;
        }
        if (before.draining() || keepUntilMillis <= nowMillis) {
            upstreams.remove(id);
            lapsedUntil.remove(id);
            return true;
        }
        lapsedUntil.putIfAbsent(id, keepUntilMillis);
        return false;
    }
}
