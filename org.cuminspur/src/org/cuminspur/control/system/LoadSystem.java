package org.cuminspur.control.system;

import java.util.HashMap;
import java.util.Map;
import org.cuminspur.config.ServiceSpec;
import org.cuminspur.control.ControlState;
import org.cuminspur.control.ControlStep;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.LoadState;
import org.cuminspur.control.UpstreamRecord;
import org.cuminspur.control.message.PeerMessage.UpstreamAlert;
import org.cuminspur.control.message.PeerMessage.UpstreamAlerts;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.routing.UpstreamTracker;

/**
 * Forecasts each upstream's load against the mean, and decides which share of its chats it spills.
 *
 * <p>Used on the control thread only. An upstream of which nothing is known lately counts as evenly loaded. The routers
 * that probe an upstream tell the others while it is hot, and set its slow weight.
 */
public final class LoadSystem implements ControlSystem {
    private static final double FORECAST_MS = 10_000;
    private static final double REPORT_LAG_MS = 1500;
    private static final double SPILL_AVERAGE_MS = 2500;
    private static final long MEAN_WINDOW_MS = 10_000;
    private static final double TELL_ABOVE = 1.05;
    private static final double TELL_STEP = 0.04;
    private static final long TELL_AGAIN_MS = 2_000;

    private final ControlState state;
    private final RouterRanks ranks;
    private final BaseWeightController weights;

    public LoadSystem(ControlState state, RouterRanks ranks) {
        this.state = state;
        this.ranks = ranks;
        this.weights = new BaseWeightController(state);
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.onPeerMessage(UpstreamAlerts.class, this::heard);
    }

    @Override
    public void tick(ControlStep turn) {
        ranks.refresh(turn.now());
        Map<ServiceId, MeanLoad> means = means(turn.now());
        state.upstreams().forEach(upstream -> update(upstream, means.get(upstream.service()), turn));
    }

    private void heard(InstanceId from, UpstreamAlerts message, ControlStep turn) {
        for (UpstreamAlert alert : message.alerts()) {
            UpstreamRecord upstream = state.upstream(alert.upstream());
            if (upstream != null && alert.kind() == UpstreamAlert.Kind.HOT) {
                upstream.load().recordPeerReport(alert.load(), alert.observedMillis(), turn.now());
            } else if (upstream != null && alert.kind() == UpstreamAlert.Kind.WEIGHT) {
                upstream.load().updateBaseWeight(alert.load(), alert.observedMillis());
            }
        }
    }

    private Map<ServiceId, MeanLoad> means(long now) {
        Map<ServiceId, MeanLoad> means = new HashMap<>();
        state.upstreams()
                .filter(upstream -> upstream.allowance() == Integer.MAX_VALUE)
                .filter(upstream -> fresh(upstream, now))
                .forEach(upstream -> means.computeIfAbsent(upstream.service(), id -> new MeanLoad())
                        .add(estimate(upstream)));
        return means;
    }

    private void update(UpstreamRecord upstream, MeanLoad mean, ControlStep turn) {
        ServiceSpec service = state.config().services().get(upstream.service());
        if (service == null || mean == null) {
            upstream.spillShare(0);
            return;
        }
        boolean reported = fresh(upstream, turn.now());
        double seen = reported ? estimate(upstream) / mean.value() : 1;
        upstream.spillShare(SpillPolicy.share(forecast(upstream, reported, seen, turn.now()), mean.value(), service));
        upstream.load().recordSpill(upstream.spillShare(), turn.now(), SPILL_AVERAGE_MS);
        if (reported && upstream.allowance() == Integer.MAX_VALUE && ranks.rank(upstream.id()) < ProbeSystem.PROBERS) {
            tell(upstream, seen, turn);
            weights.update(upstream, seen, mean.value(), ranks.rank(upstream.id()), turn.now());
        }
    }

    /** Returns the newest word on the load, drawn toward the mean with its age, as the work it counts ends. */
    private static double forecast(UpstreamRecord upstream, boolean reported, double seen, long now) {
        LoadState load = upstream.load();
        long ownMillis = reported ? upstream.tracker().latestReport().receivedMillis() : Long.MIN_VALUE;
        boolean peerNewer = load.peerReceivedMillis() > ownMillis;
        double ratio = peerNewer ? load.peerRatio() : seen;
        long atMillis = peerNewer ? load.peerReceivedMillis() : ownMillis;
        if (atMillis == Long.MIN_VALUE) {
            return 1;
        }
        // What was spilled since the report has relieved the upstream already; to count it twice would swing the load.
        double level = 1 - load.spillAverage();
        return level + (ratio - level) * Math.exp(-(now - atMillis + REPORT_LAG_MS) / FORECAST_MS);
    }

    private void tell(UpstreamRecord upstream, double seen, ControlStep turn) {
        LoadState load = upstream.load();
        boolean wasHot = load.announcedRatio() > TELL_ABOVE;
        boolean hot = seen > TELL_ABOVE;
        boolean changed = Math.abs(seen - load.announcedRatio()) >= TELL_STEP;
        boolean due = hot && (!wasHot || turn.now() - load.announcedMillis() >= TELL_AGAIN_MS);
        if ((hot || wasHot) && (changed || due)) {
            load.recordAnnouncement(seen, turn.now());
            state.alertOutbox().add(new UpstreamAlert(upstream.id(), UpstreamAlert.Kind.HOT, 0, turn.now(), seen));
        }
    }

    private static boolean fresh(UpstreamRecord upstream, long now) {
        UpstreamTracker.ReceivedReport reported = upstream.tracker().latestReport();
        return reported != null && now - reported.receivedMillis() < MEAN_WINDOW_MS;
    }

    private static double estimate(UpstreamRecord upstream) {
        UpstreamTracker.ReceivedReport reported = upstream.tracker().latestReport();
        int change = upstream.tracker().inProgress() - reported.ownInProgress();
        return Math.max(0, reported.report().inProgress() + change);
    }
}
