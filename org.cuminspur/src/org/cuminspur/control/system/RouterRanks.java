package org.cuminspur.control.system;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cuminspur.control.ControlState;
import org.cuminspur.control.PeerRecord;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Ranks this router among all recently listed ones, for each upstream by a rendezvous hash.
 *
 * <p>Used on the control thread only. A router that drops out of the list keeps its rank for a while, so that a
 * flapping list does not promote others in its place.
 */
public final class RouterRanks {
    /** Time for which a router that is no longer listed keeps its rank. */
    static final long UNLISTED_RETENTION_MS = 10_000;

    private static final long LISTED = Long.MAX_VALUE;

    private final ControlState state;
    private final Map<InstanceId, Long> unlistedSince = new TreeMap<>();
    private final Map<UpstreamId, Integer> ranks = new HashMap<>();
    private long[] hashes = {};
    private long seenListUpdates = -1;
    private final long selfHash;

    public RouterRanks(ControlState state) {
        this.state = state;
        this.selfHash = Rendezvous.hash(state.self().id().value());
    }

    /** Updates the ranks to the listed routers. */
    void refresh(long now) {
        int before = unlistedSince.size();
        boolean joined = false;
        if (seenListUpdates != state.listUpdates()) {
            seenListUpdates = state.listUpdates();
            unlistedSince.replaceAll((id, since) -> state.peer(id) == null ? Math.min(since, now) : LISTED);
            List<InstanceId> joinedIds = state.peers()
                    .map(PeerRecord::id)
                    .filter(id -> !unlistedSince.containsKey(id))
                    .toList();
            joinedIds.forEach(id -> unlistedSince.put(id, LISTED));
            joined = !joinedIds.isEmpty();
        }
        unlistedSince.values().removeIf(since -> since < now - UNLISTED_RETENTION_MS);
        if (joined || unlistedSince.size() != before) {
            ranks.clear();
            hashes = unlistedSince.keySet().stream()
                    .mapToLong(id -> Rendezvous.hash(id.value()))
                    .toArray();
        }
    }

    /** Returns how many routers are ranked, this one included. */
    int size() {
        return hashes.length + 1;
    }

    /** Returns this router's rank for an upstream, from 0. */
    int rank(UpstreamId upstream) {
        return ranks.computeIfAbsent(upstream, this::computeRank);
    }

    private int computeRank(UpstreamId upstream) {
        long key = Rendezvous.hash(upstream.value());
        long own = Rendezvous.mix(key, selfHash);
        int higherRanked = 0;
        for (long hash : hashes) {
            if (Long.compareUnsigned(Rendezvous.mix(key, hash), own) > 0) {
                higherRanked++;
            }
        }
        return higherRanked;
    }
}
