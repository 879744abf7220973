package org.cuminspur.control.system;

import org.cuminspur.control.ControlOutput;
import org.cuminspur.control.ControlState;
import org.cuminspur.control.ControlStep;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.UpstreamRecord;
import org.cuminspur.routing.UpstreamTracker;

/**
 * Probes upstreams: a few routers probe each upstream for the fleet, and each router probes those that it suspects.
 *
 * <p>Used on the control thread only. A load report received with a response makes the next probe unnecessary.
 */
public final class ProbeSystem implements ControlSystem {
    /** Number of routers that probe an upstream for the fleet. */
    static final int PROBERS_PER_UPSTREAM = 2;

    private static final long PROBE_INTERVAL_MS = 1_000;

    private final ControlState state;
    private final RouterRanks ranks;
    private long nextProbeMillis = Long.MIN_VALUE;

    public ProbeSystem(ControlState state, RouterRanks ranks) {
        this.state = state;
        this.ranks = ranks;
    }

    @Override
    public void tick(ControlStep step) {
        if (step.now() < nextProbeMillis) {
            return;
        }
        nextProbeMillis = step.now() + PROBE_INTERVAL_MS;
        ranks.refresh(step.now());
        state.upstreams()
                .filter(upstream -> upstream.suspect()
                        || (isReportStale(upstream, step.now()) && ranks.rank(upstream.id()) < PROBERS_PER_UPSTREAM))
                .forEach(upstream -> step.outputs().accept(new ControlOutput.ProbeUpstream(upstream.id())));
    }

    private static boolean isReportStale(UpstreamRecord upstream, long now) {
        UpstreamTracker.ReceivedReport reported = upstream.tracker().latestReport();
        return reported == null || now - reported.receivedMillis() >= PROBE_INTERVAL_MS / 2;
    }
}
