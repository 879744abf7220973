package org.cuminspur.control.system;

import java.util.HashMap;
import java.util.Map;
import org.cuminspur.config.ServiceSpec;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.LoadState;
import org.cuminspur.control.Tables;
import org.cuminspur.control.Turn;
import org.cuminspur.control.UpstreamRow;
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

    private final Tables tables;
    private final RouterRanks ranks;
    private final SlowWeights weights;

    public LoadSystem(Tables tables, RouterRanks ranks) {
        this.tables = tables;
        this.ranks = ranks;
        this.weights = new SlowWeights(tables);
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.onPeer(UpstreamAlerts.class, this::heard);
    }

    @Override
    public void tick(Turn turn) {
        ranks.refresh(turn.now());
        Map<ServiceId, MeanLoad> means = means(turn.now());
        tables.upstreams().forEach(row -> update(row, means.get(row.service()), turn));
    }

    private void heard(InstanceId from, UpstreamAlerts message, Turn turn) {
        for (UpstreamAlert alert : message.alerts()) {
            UpstreamRow row = tables.upstream(alert.upstream());
            if (row != null && alert.kind() == UpstreamAlert.Kind.HOT) {
                row.load().heard(alert.load(), alert.observedMillis(), turn.now());
            } else if (row != null && alert.kind() == UpstreamAlert.Kind.WEIGHT) {
                row.load().baseWeight(alert.load(), alert.observedMillis());
            }
        }
    }

    private Map<ServiceId, MeanLoad> means(long now) {
        Map<ServiceId, MeanLoad> means = new HashMap<>();
        tables.upstreams()
                .filter(row -> row.allowance() == Integer.MAX_VALUE)
                .filter(row -> fresh(row, now))
                .forEach(row -> means.computeIfAbsent(row.service(), id -> new MeanLoad())
                        .add(estimate(row)));
        return means;
    }

    private void update(UpstreamRow row, MeanLoad mean, Turn turn) {
        ServiceSpec service = tables.config().services().get(row.service());
        if (service == null || mean == null) {
            row.spill(0);
            return;
        }
        boolean reported = fresh(row, turn.now());
        double seen = reported ? estimate(row) / mean.value() : 1;
        row.spill(Spill.share(forecast(row, reported, seen, turn.now()), mean.value(), service));
        row.load().spilled(row.spill(), turn.now(), SPILL_AVERAGE_MS);
        if (reported && row.allowance() == Integer.MAX_VALUE && ranks.rank(row.id()) < ProbeSystem.PROBERS) {
            tell(row, seen, turn);
            weights.update(row, seen, mean.value(), ranks.rank(row.id()), turn.now());
        }
    }

    /** Returns the newest word on the load, drawn toward the mean with its age, as the work it counts ends. */
    private static double forecast(UpstreamRow row, boolean reported, double seen, long now) {
        LoadState load = row.load();
        long ownMillis = reported ? row.tracker().latestReport().receivedMillis() : Long.MIN_VALUE;
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

    private void tell(UpstreamRow row, double seen, Turn turn) {
        LoadState load = row.load();
        boolean wasHot = load.toldRatio() > TELL_ABOVE;
        boolean hot = seen > TELL_ABOVE;
        boolean changed = Math.abs(seen - load.toldRatio()) >= TELL_STEP;
        boolean due = hot && (!wasHot || turn.now() - load.toldMillis() >= TELL_AGAIN_MS);
        if ((hot || wasHot) && (changed || due)) {
            load.told(seen, turn.now());
            tables.alerts().add(new UpstreamAlert(row.id(), UpstreamAlert.Kind.HOT, 0, turn.now(), seen));
        }
    }

    private static boolean fresh(UpstreamRow row, long now) {
        UpstreamTracker.ReceivedReport reported = row.tracker().latestReport();
        return reported != null && now - reported.receivedMillis() < MEAN_WINDOW_MS;
    }

    private static double estimate(UpstreamRow row) {
        UpstreamTracker.ReceivedReport reported = row.tracker().latestReport();
        int change = row.tracker().inProgress() - reported.ownInProgress();
        return Math.max(0, reported.report().inProgress() + change);
    }
}
