package org.cuminspur.control.system;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.cuminspur.control.ControlState;
import org.cuminspur.control.ControlStep;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.UpstreamRecord;
import org.cuminspur.control.message.PeerMessage.UpstreamAlert;
import org.cuminspur.control.message.PeerMessage.UpstreamAlerts;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Notifies peers of leaving upstreams, since the platform's list reaches some routers later than others.
 *
 * <p>Used on the control thread only. A notice applies to one incarnation, and only until this router's own list
 * has had time to confirm it, so that an error cannot exclude an upstream for long.
 */
public final class LeavingUpstreamSystem implements ControlSystem {
    private static final long PUSH_INTERVAL_MS = 200;
    private static final int PUSH_ROUNDS = 8;
    private static final long NOTICE_MS = 60_000;

    /** Notice that an incarnation of an upstream is leaving. */
    private static final class Notice {
        private final long incarnation;
        private final long untilMillis;
        private int remainingRounds = PUSH_ROUNDS;

        Notice(long incarnation, long untilMillis) {
            this.incarnation = incarnation;
            this.untilMillis = untilMillis;
        }
    }

    private final ControlState state;
    private final PeerSampler peers;
    private final Map<UpstreamId, Notice> notices = new TreeMap<>();
    private long nextPushMillis = Long.MIN_VALUE;

    public LeavingUpstreamSystem(ControlState state, RandomGenerator random) {
        this.state = state;
        this.peers = new PeerSampler(state, random);
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.onPeerMessage(UpstreamAlerts.class, this::onAlerts);
    }

    @Override
    public void tick(ControlStep step) {
        notices.values().removeIf(notice -> step.now() >= notice.untilMillis);
        state.upstreams()
                .filter(upstream -> upstream.listed().leaving())
                .forEach(upstream -> recordNotice(upstream.id(), incarnationHash(upstream), step));
        state.upstreams().forEach(this::applyNotice);
        if (step.now() >= nextPushMillis) {
            nextPushMillis = step.now() + PUSH_INTERVAL_MS;
            sendNotices(step);
        }
    }

    private void onAlerts(InstanceId from, UpstreamAlerts message, ControlStep step) {
        message.alerts().stream()
                .filter(alert -> alert.kind() == UpstreamAlert.Kind.LEAVING)
                .forEach(alert -> recordNotice(alert.upstream(), alert.incarnation(), step));
    }

    private void recordNotice(UpstreamId upstream, long incarnation, ControlStep step) {
        Notice held = notices.get(upstream);
        if (held == null || held.incarnation != incarnation) {
            notices.put(upstream, new Notice(incarnation, step.now() + NOTICE_MS));
            step.reportChange("upstream-leaving", upstream.value());
        }
    }

    private void applyNotice(UpstreamRecord upstream) {
        Notice notice = notices.get(upstream.id());
        upstream.leavingNoticeHeld(notice != null && notice.incarnation == incarnationHash(upstream));
    }

    private void sendNotices(ControlStep step) {
        List<UpstreamAlert> alerts = notices.entrySet().stream()
                .filter(entry -> entry.getValue().remainingRounds > 0)
                .map(entry -> leavingAlert(entry.getKey(), entry.getValue(), step.now()))
                .toList();
        notices.values().forEach(notice -> notice.remainingRounds = Math.max(0, notice.remainingRounds - 1));
        if (!alerts.isEmpty()) {
            peers.randomPair(step.now())
                    .forEach(peer -> step.send(peer, new UpstreamAlerts(alerts, UpstreamAlerts.LAST_HOP)));
        }
    }

    private static UpstreamAlert leavingAlert(UpstreamId upstream, Notice notice, long now) {
        return new UpstreamAlert(upstream, UpstreamAlert.Kind.LEAVING, notice.incarnation, now, 0);
    }

    private static long incarnationHash(UpstreamRecord upstream) {
        return Rendezvous.hash(upstream.listed().incarnation());
    }
}
