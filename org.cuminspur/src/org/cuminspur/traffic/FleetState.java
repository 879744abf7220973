package org.cuminspur.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.Revision;
import org.cuminspur.id.UpstreamId;

/**
 * The state of the fleet, built from the updates read from the store.
 *
 * <p>Confined to one thread. A configuration is replaced only by one with a higher revision. An upstream whose entry
 * vanished while the store was unavailable, or soon after, stays until it had time to register again, unless it was
 * draining. While an upstream is known, entries of its earlier starts are ignored. A process that drains never serves
 * again, and one that was removed is not taken back because a copy of the store holds its entry.
 */
public final class FleetState {
    /** How long an instance still counts after its entry lapsed, since its lease may have expired in an outage. */
    private static final long INSTANCE_GRACE_MS = 10_000;

    /** Removed upstreams that are remembered, the latest ones. */
    private static final int MAX_REMOVED = 1_024;

    private final Map<UpstreamId, UpstreamEntry> upstreams = new HashMap<>();
    private final Map<UpstreamId, Long> removedStarts = new LinkedHashMap<>();
    private final Map<UpstreamId, Long> lapsedExpiry = new HashMap<>();
    private final Map<InstanceId, Long> instanceExpiry = new HashMap<>();
    private final Map<InstanceId, NetworkAddress> peers = new HashMap<>();
    private final Set<FailureDomainId> drainedDomains = new HashSet<>();
    private HostRouteTable routeTable;

    /**
     * Applies an update; returns whether the view changed.
     *
     * @param lapsedExpiryMillis time until which an upstream stays if its entry vanishes by this update
     * @param fromCopy whether the update may be older than the state, since the store came back from a copy
     */
    public boolean apply(FleetUpdate update, long nowMillis, long lapsedExpiryMillis, boolean fromCopy) {
        if (update instanceof FleetUpdate.ConfigPublished published) {
            return applyConfig(published.config());
        } else if (update instanceof FleetUpdate.UpstreamUpdated updated) {
            return applyEntry(updated.entry(), fromCopy);
        } else if (update instanceof FleetUpdate.UpstreamRemoved removed) {
            return removeOrLapse(removed.id(), nowMillis, lapsedExpiryMillis);
        } else if (update instanceof FleetUpdate.DomainDrained drained) {
            return drainedDomains.add(drained.domain());
        } else if (update instanceof FleetUpdate.DomainRestored restored) {
            return drainedDomains.remove(restored.domain());
        } else if (update instanceof FleetUpdate.InstanceRegistered registered) {
            return applyInstance(registered);
        } else if (update instanceof FleetUpdate.InstanceRemoved removed) {
            instanceExpiry.computeIfPresent(
                    removed.id(), (id, expiryMillis) -> Math.min(expiryMillis, nowMillis + INSTANCE_GRACE_MS));
        }
        return false;
    }

    /** Removes lapsed entries whose grace period is over; returns whether the view changed. */
    public boolean expire(long nowMillis) {
        boolean upstreamsChanged = lapsedExpiry.entrySet().removeIf(lapsed -> {
            boolean expired = lapsed.getValue() <= nowMillis;
            if (expired) {
                remove(lapsed.getKey());
            }
            return expired;
        });
        boolean instancesChanged = instanceExpiry.values().removeIf(expiryMillis -> expiryMillis <= nowMillis);
        peers.keySet().retainAll(instanceExpiry.keySet());
        return instancesChanged | upstreamsChanged;
    }

    /** Sets the latest time until which upstreams that have lapsed so far stay unless they register again. */
    public void expireLapsedBy(long latestMillis) {
        lapsedExpiry.replaceAll((id, expiryMillis) -> Math.min(expiryMillis, latestMillis));
    }

    /** Returns the revision of the configuration in force, or {@link Revision#NONE}. */
    public Revision revision() {
        return routeTable == null ? Revision.NONE : routeTable.config().revision();
    }

    /** Returns the current view, without prompt tables. */
    public FleetView view() {
        return new FleetView(
                Optional.ofNullable(routeTable),
                upstreams,
                drainedDomains,
                instanceExpiry.keySet().stream().sorted().toList(),
                peers,
                Map.of());
    }

    private boolean applyInstance(FleetUpdate.InstanceRegistered registered) {
        NetworkAddress address = registered.address().orElse(null);
        NetworkAddress previous = address == null ? peers.remove(registered.id()) : peers.put(registered.id(), address);
        return instanceExpiry.put(registered.id(), Long.MAX_VALUE) == null | !Objects.equals(address, previous);
    }

    private boolean applyConfig(TrafficConfig config) {
        if (!config.revision().isNewerThan(revision())) {
            return false;
        }
        routeTable = new HostRouteTable(config);
        return true;
    }

    private boolean applyEntry(UpstreamEntry entry, boolean fromCopy) {
        if (fromCopy && removedStarts.getOrDefault(entry.id(), Long.MIN_VALUE) >= entry.startedMillis()) {
            return false;
        }
        removedStarts.remove(entry.id());
        lapsedExpiry.remove(entry.id());
        UpstreamEntry previous = upstreams.get(entry.id());
        if (previous != null && previous.startedMillis() > entry.startedMillis()) {
            return false;
        }
        boolean drains = previous != null && previous.draining() && previous.sameProcess(entry);
        UpstreamEntry applied = drains ? entry.asDraining() : entry;
        upstreams.put(entry.id(), applied);
        return !applied.equals(previous);
    }

    private void remove(UpstreamId id) {
        UpstreamEntry removed = upstreams.remove(id);
        if (removed == null) {
            return;
        }
        removedStarts.remove(id);
        removedStarts.put(id, removed.startedMillis());
        if (removedStarts.size() > MAX_REMOVED) {
            removedStarts.remove(removedStarts.keySet().iterator().next());
        }
    }

    private boolean removeOrLapse(UpstreamId id, long nowMillis, long expiryMillis) {
        UpstreamEntry previous = upstreams.get(id);
        if (previous == null) {
            return false;
        }
        if (previous.draining() || expiryMillis <= nowMillis) {
            remove(id);
            lapsedExpiry.remove(id);
            return true;
        }
        lapsedExpiry.putIfAbsent(id, expiryMillis);
        return false;
    }
}
