package org.cuminspur.control.system;

import org.cuminspur.control.ControlState;
import org.cuminspur.control.LoadState;
import org.cuminspur.control.UpstreamRecord;
import org.cuminspur.control.message.PeerMessage.UpstreamAlert;

/**
 * Moves the slow weights of the upstreams that this router owns, and tells the other routers.
 *
 * <p>Used on the control thread only. The highest ranked prober of an upstream owns its weight, so one router at a time
 * sets it; a new owner goes on from the weight that it heard.
 */
final class BaseWeightController {
    private static final double AVERAGE_MS = 20_000;
    private static final double GAIN_PER_SECOND = 0.02;
    private static final double LEAST = 0.5;
    private static final double MOST = 1.5;
    private static final double LEAST_MEAN = 16;
    private static final double TELL_STEP = 0.01;
    private static final long STEP_MS = 5_000;
    private static final long TELL_AGAIN_MS = 60_000;

    private final ControlState state;

    BaseWeightController(ControlState state) {
        this.state = state;
    }

    /** Takes a sample of the load; an idle service's ratios are noise, so {@code mean} must be large enough. */
    void update(UpstreamRecord upstream, double seen, double mean, int rank, long now) {
        if (mean < LEAST_MEAN) {
            return;
        }
        LoadState load = upstream.load();
        load.addSample(Math.min(MOST, Math.max(LEAST, seen)), now, AVERAGE_MS);
        if (rank != 0 || now - load.weightCheckedMillis() < STEP_MS) {
            return;
        }
        load.recordWeightCheck(now);
        load.pendingWeightChange(
                load.pendingWeightChange() - GAIN_PER_SECOND * STEP_MS / 1_000 * (load.averageRatio() - 1));
        boolean changed = Math.abs(load.pendingWeightChange()) >= TELL_STEP;
        boolean due = load.baseWeight() != 1 && now - load.weightAnnouncedMillis() >= TELL_AGAIN_MS;
        if (changed || due) {
            tell(upstream, now);
        }
    }

    private void tell(UpstreamRecord upstream, long now) {
        LoadState load = upstream.load();
        double weight = Math.min(MOST, Math.max(LEAST, load.baseWeight() * (1 + load.pendingWeightChange())));
        load.updateBaseWeight(weight, now);
        load.pendingWeightChange(0);
        load.recordWeightAnnouncement(now);
        state.alertOutbox().add(new UpstreamAlert(upstream.id(), UpstreamAlert.Kind.WEIGHT, 0, now, weight));
    }
}
