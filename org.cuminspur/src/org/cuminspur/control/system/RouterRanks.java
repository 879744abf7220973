package org.cuminspur.control.system;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.cuminspur.control.Tables;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Ranks this router among all that were listed lately, for each upstream by a rendezvous hash.
 *
 * <p>Used on the control thread only. A router that drops out of the list keeps its rank for a while, so that a list
 * that flaps does not raise others in its place.
 */
public final class RouterRanks {
    /** Time for which a router that is no longer listed keeps its rank. */
    static final long MEMORY_MS = 10_000;

    private final Tables tables;
    private final Map<InstanceId, Long> lastListed = new TreeMap<>();
    private final Map<UpstreamId, Integer> ranks = new HashMap<>();
    private long[] hashes = {};
    private long seenListings = -1;
    private final long selfHash;

    public RouterRanks(Tables tables) {
        this.tables = tables;
        this.selfHash = Rendezvous.hash(tables.self().id().value());
    }

    /** Brings the ranks in step with the table of routers, if the list was read since the last time. */
    void refresh(long now) {
        if (seenListings == tables.listings()) {
            return;
        }
        seenListings = tables.listings();
        int before = lastListed.size();
        boolean[] added = {false};
        tables.peers().forEach(peer -> added[0] |= lastListed.put(peer.id(), now) == null);
        lastListed.values().removeIf(listed -> listed < now - MEMORY_MS);
        if (added[0] || lastListed.size() != before) {
            ranks.clear();
            hashes = lastListed.keySet().stream()
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
        return ranks.computeIfAbsent(upstream, this::count);
    }

    private int count(UpstreamId upstream) {
        long key = Rendezvous.hash(upstream.value());
        long own = Rendezvous.mix(key, selfHash);
        int above = 0;
        for (long hash : hashes) {
            if (Long.compareUnsigned(Rendezvous.mix(key, hash), own) > 0) {
                above++;
            }
        }
        return above;
    }
}
