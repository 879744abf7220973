package org.cuminspur.control.system;

import org.cuminspur.control.ControlOutput;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.Tables;
import org.cuminspur.control.Turn;
import org.cuminspur.control.UpstreamRow;
import org.cuminspur.routing.UpstreamTracker;

/**
 * Probes upstreams: a few routers probe each upstream for the fleet, and each router probes those that fail it.
 *
 * <p>Used on the control thread only. A report that came with an answer makes the next probe unnecessary.
 */
public final class ProbeSystem implements ControlSystem {
    /** Routers that probe an upstream for the fleet. */
    static final int PROBERS = 2;

    private static final long INTERVAL_MS = 1_000;

    private final Tables tables;
    private final RouterRanks ranks;
    private long nextMillis = Long.MIN_VALUE;

    public ProbeSystem(Tables tables, RouterRanks ranks) {
        this.tables = tables;
        this.ranks = ranks;
    }

    @Override
    public void tick(Turn turn) {
        if (turn.now() < nextMillis) {
            return;
        }
        nextMillis = turn.now() + INTERVAL_MS;
        ranks.refresh(turn.now());
        tables.upstreams()
                .filter(row -> row.suspect() || (stale(row, turn.now()) && ranks.rank(row.id()) < PROBERS))
                .forEach(row -> turn.out().accept(new ControlOutput.ProbeUpstream(row.id())));
    }

    private static boolean stale(UpstreamRow row, long now) {
        UpstreamTracker.ReceivedReport reported = row.tracker().latestReport();
        return reported == null || now - reported.receivedMillis() >= INTERVAL_MS / 2;
    }
}
