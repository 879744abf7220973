package org.cuminspur.control.system;

import org.cuminspur.control.ControlState;
import org.cuminspur.control.LoadState;
import org.cuminspur.control.UpstreamRecord;
import org.cuminspur.control.message.PeerMessage.UpstreamAlert;

/**
 * Adjusts the base weights of the upstreams that this router owns, and announces them to the other routers.
 *
 * <p>Used on the control thread only. The highest-ranked prober of an upstream owns its weight, so one router at a time
 * sets it; a new owner continues from the last announced weight.
 */
final class BaseWeightController {
    private static final double AVERAGE_TIME_CONSTANT_MS = 20_000;
    private static final double GAIN_PER_SECOND = 0.02;
    private static final double MIN_WEIGHT = 0.5;
    private static final double MAX_WEIGHT = 1.5;
    private static final double MIN_MEAN_LOAD = 16;
    private static final double MIN_ANNOUNCED_CHANGE = 0.01;
    private static final long CHECK_INTERVAL_MS = 5_000;
    private static final long ANNOUNCE_INTERVAL_MS = 60_000;

    private final ControlState state;

    BaseWeightController(ControlState state) {
        this.state = state;
    }

    /**
     * Adds a load sample and, if this router owns the weight, adjusts it; does nothing if {@code mean} is small, as an
     * idle service's ratios are noise.
     */
    void update(UpstreamRecord upstream, double observedRatio, double mean, int rank, long now) {
        if (mean < MIN_MEAN_LOAD) {
            return;
        }
        LoadState load = upstream.load();
        load.addSample(Math.min(MAX_WEIGHT, Math.max(MIN_WEIGHT, observedRatio)), now, AVERAGE_TIME_CONSTANT_MS);
        if (rank != 0 || now - load.weightCheckedMillis() < CHECK_INTERVAL_MS) {
            return;
        }
        load.recordWeightCheck(now);
        load.pendingWeightChange(
                load.pendingWeightChange() - GAIN_PER_SECOND * CHECK_INTERVAL_MS / 1_000 * (load.averageRatio() - 1));
        boolean changed = Math.abs(load.pendingWeightChange()) >= MIN_ANNOUNCED_CHANGE;
        boolean due = load.baseWeight() != 1 && now - load.weightAnnouncedMillis() >= ANNOUNCE_INTERVAL_MS;
        if (changed || due) {
            announce(upstream, now);
        }
    }

    private void announce(UpstreamRecord upstream, long now) {
        LoadState load = upstream.load();
        double weight =
                Math.min(MAX_WEIGHT, Math.max(MIN_WEIGHT, load.baseWeight() * (1 + load.pendingWeightChange())));
        load.updateBaseWeight(weight, now);
        load.pendingWeightChange(0);
        load.recordWeightAnnouncement(now);
        state.alertOutbox().add(new UpstreamAlert(upstream.id(), UpstreamAlert.Kind.WEIGHT, 0, now, weight));
    }
}
