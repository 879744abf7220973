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
    private static final long INSTANCE_GRACE_MS = 10_000;

    private final Map<UpstreamId, UpstreamEntry> upstreams = new HashMap<>();
    private final Map<UpstreamId, Long> lapsedExpiry = new HashMap<>();
    private final Map<InstanceId, Long> instanceExpiry = new HashMap<>();
    private final Set<FailureDomainId> drainedDomains = new HashSet<>();
    private HostRouteTable routeTable;

    /** Takes a fact; returns whether it changed anything. */
    public boolean apply(FleetUpdate update, long nowMillis, long lapsedExpiryMillis) {
        if (update instanceof FleetUpdate.ConfigPublished published) {
            return applyConfig(published.config());
        } else if (update instanceof FleetUpdate.UpstreamUpdated registered) {
            return applyEntry(registered.entry());
        } else if (update instanceof FleetUpdate.UpstreamRemoved removed) {
            return removeOrLapse(removed.id(), nowMillis, lapsedExpiryMillis);
        } else if (update instanceof FleetUpdate.DomainDrained drained) {
            return drainedDomains.add(drained.domain());
        } else if (update instanceof FleetUpdate.DomainRestored restored) {
            return drainedDomains.remove(restored.domain());
        } else if (update instanceof FleetUpdate.InstanceRegistered registered) {
            return instanceExpiry.put(registered.id(), Long.MAX_VALUE) == null;
        } else if (update instanceof FleetUpdate.InstanceRemoved removed) {
            instanceExpiry.computeIfPresent(removed.id(), (id, expiryMillis) -> Math.min(expiryMillis, nowMillis + INSTANCE_GRACE_MS));
        }
        return false;
    }

    /** Drops what lapsed and did not come back in time; returns whether anything changed. */
    public boolean expire(long nowMillis) {
        boolean upstreamsChanged = lapsedExpiry.entrySet().removeIf(lapsed -> {
            boolean expired = lapsed.getValue() <= nowMillis;
            if (expired) {
                upstreams.remove(lapsed.getKey());
            }
            return expired;
        });
        return instanceExpiry.values().removeIf(expiryMillis -> expiryMillis <= nowMillis) | upstreamsChanged;
    }

    /** Ends the wait for what lapsed while the store was away: at this time it is gone unless it is back. */
    public void expireLapsedBy(long latestMillis) {
        lapsedExpiry.replaceAll((id, expiryMillis) -> Math.min(expiryMillis, latestMillis));
    }

    /** Returns the revision of the configuration in force, or {@link Revision#NONE}. */
    public Revision revision() {
        return routeTable == null ? Revision.NONE : routeTable.config().revision();
    }

    /** Returns the present view. */
    public FleetView view() {
        return new FleetView(
                Optional.ofNullable(routeTable),
                upstreams,
                drainedDomains,
                instanceExpiry.keySet().stream().sorted().toList(),
                Map.of());
    }

    private boolean applyConfig(TrafficConfig config) {
        if (!config.revision().isNewerThan(revision())) {
            return false;
        }
        routeTable = new HostRouteTable(config);
        return true;
    }

    private boolean applyEntry(UpstreamEntry entry) {
        lapsedExpiry.remove(entry.id());
        UpstreamEntry previous = upstreams.get(entry.id());
        if (previous != null && previous.startedMillis() > entry.startedMillis()) {
            return false;
        }
        upstreams.put(entry.id(), entry);
        return !entry.equals(previous);
    }

    private boolean removeOrLapse(UpstreamId id, long nowMillis, long expiryMillis) {
        UpstreamEntry previous = upstreams.get(id);
        if (previous == null) {
            return false;
        }
        if (previous.draining() || expiryMillis <= nowMillis) {
            upstreams.remove(id);
            lapsedExpiry.remove(id);
            return true;
        }
        lapsedExpiry.putIfAbsent(id, expiryMillis);
        return false;
    }
}
