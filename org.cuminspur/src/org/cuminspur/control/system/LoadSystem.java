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
 * Forecasts each upstream's load relative to the mean, and decides which share of its chats it spills.
 *
 * <p>Used on the control thread only. An upstream without recent reports counts as evenly loaded. The routers that
 * probe an upstream announce its load while it is hot, and the highest-ranked of them adjusts its base weight.
 */
public final class LoadSystem implements ControlSystem {
    private static final double FORECAST_DECAY_MS = 10_000;
    private static final double REPORT_LAG_MS = 1500;
    private static final double SPILL_AVERAGE_TIME_CONSTANT_MS = 2500;
    private static final long MAX_REPORT_AGE_MS = 10_000;
    private static final double HOT_RATIO = 1.05;
    private static final double MIN_ANNOUNCED_CHANGE = 0.04;
    private static final long ANNOUNCE_INTERVAL_MS = 2_000;

    private final ControlState state;
    private final RouterRanks ranks;
    private final BaseWeightController baseWeights;

    public LoadSystem(ControlState state, RouterRanks ranks) {
        this.state = state;
        this.ranks = ranks;
        this.baseWeights = new BaseWeightController(state);
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.onPeerMessage(UpstreamAlerts.class, this::onAlerts);
    }

    @Override
    public void tick(ControlStep step) {
        ranks.refresh(step.now());
        Map<ServiceId, MeanLoad> means = meanLoads(step.now());
        state.upstreams().forEach(upstream -> update(upstream, means.get(upstream.service()), step));
    }

    private void onAlerts(InstanceId from, UpstreamAlerts message, ControlStep step) {
        for (UpstreamAlert alert : message.alerts()) {
            UpstreamRecord upstream = state.upstream(alert.upstream());
            if (upstream != null && alert.kind() == UpstreamAlert.Kind.HOT) {
                upstream.load().recordPeerReport(alert.load(), alert.observedMillis(), step.now());
            } else if (upstream != null && alert.kind() == UpstreamAlert.Kind.WEIGHT) {
                upstream.load().updateBaseWeight(alert.load(), alert.observedMillis());
            }
        }
    }

    private Map<ServiceId, MeanLoad> meanLoads(long now) {
        Map<ServiceId, MeanLoad> means = new HashMap<>();
        state.upstreams()
                .filter(upstream -> upstream.allowance() == Integer.MAX_VALUE)
                .filter(upstream -> hasFreshReport(upstream, now))
                .forEach(upstream -> means.computeIfAbsent(upstream.service(), id -> new MeanLoad())
                        .add(estimatedInProgress(upstream)));
        return means;
    }

    private void update(UpstreamRecord upstream, MeanLoad mean, ControlStep step) {
        ServiceSpec service = state.config().services().get(upstream.service());
        if (service == null || mean == null) {
            upstream.spillShare(0);
            return;
        }
        boolean reported = hasFreshReport(upstream, step.now());
        double observedRatio = reported ? estimatedInProgress(upstream) / mean.value() : 1;
        upstream.spillShare(
                SpillPolicy.spillShare(forecast(upstream, reported, observedRatio, step.now()), mean.value(), service));
        upstream.load().recordSpill(upstream.spillShare(), step.now(), SPILL_AVERAGE_TIME_CONSTANT_MS);
        if (reported
                && upstream.allowance() == Integer.MAX_VALUE
                && ranks.rank(upstream.id()) < ProbeSystem.PROBERS_PER_UPSTREAM) {
            announceIfHot(upstream, observedRatio, step);
            baseWeights.update(upstream, observedRatio, mean.value(), ranks.rank(upstream.id()), step.now());
        }
    }

    /** Returns the newest load ratio, decayed with its age toward the mean less the spilled share. */
    private static double forecast(UpstreamRecord upstream, boolean reported, double observedRatio, long now) {
        LoadState load = upstream.load();
        long ownMillis = reported ? upstream.tracker().latestReport().receivedMillis() : Long.MIN_VALUE;
        boolean peerNewer = load.peerReceivedMillis() > ownMillis;
        double ratio = peerNewer ? load.peerRatio() : observedRatio;
        long receivedMillis = peerNewer ? load.peerReceivedMillis() : ownMillis;
        if (receivedMillis == Long.MIN_VALUE) {
            return 1;
        }
        // The counted work finishes with time. Spilling since the report has already reduced the load; counting it
        // twice would make the load oscillate.
        double baseline = 1 - load.spillAverage();
        return baseline + (ratio - baseline) * Math.exp(-(now - receivedMillis + REPORT_LAG_MS) / FORECAST_DECAY_MS);
    }

    private void announceIfHot(UpstreamRecord upstream, double observedRatio, ControlStep step) {
        LoadState load = upstream.load();
        boolean wasHot = load.announcedRatio() > HOT_RATIO;
        boolean hot = observedRatio > HOT_RATIO;
        boolean changed = Math.abs(observedRatio - load.announcedRatio()) >= MIN_ANNOUNCED_CHANGE;
        boolean due = hot && (!wasHot || step.now() - load.announcedMillis() >= ANNOUNCE_INTERVAL_MS);
        if ((hot || wasHot) && (changed || due)) {
            load.recordAnnouncement(observedRatio, step.now());
            state.alertOutbox()
                    .add(new UpstreamAlert(upstream.id(), UpstreamAlert.Kind.HOT, 0, step.now(), observedRatio));
        }
    }

    private static boolean hasFreshReport(UpstreamRecord upstream, long now) {
        UpstreamTracker.ReceivedReport reported = upstream.tracker().latestReport();
        return reported != null && now - reported.receivedMillis() < MAX_REPORT_AGE_MS;
    }

    private static double estimatedInProgress(UpstreamRecord upstream) {
        UpstreamTracker.ReceivedReport reported = upstream.tracker().latestReport();
        int change = upstream.tracker().inProgress() - reported.ownInProgress();
        return Math.max(0, reported.report().inProgress() + change);
    }
}
