package org.cuminspur.control.system;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.Tables;
import org.cuminspur.control.Turn;
import org.cuminspur.control.UpstreamRow;
import org.cuminspur.control.message.PeerMessage.UpstreamAlert;
import org.cuminspur.control.message.PeerMessage.UpstreamAlerts;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Spreads the news of leaving upstreams, since the platform's list reaches some routers later than others.
 *
 * <p>Used on the control thread only. What a peer told holds for one incarnation, and only until the own list has had
 * time to say the same, so that a mistake cannot keep an upstream out for long.
 */
public final class LeavingSystem implements ControlSystem {
    private static final long PUSH_INTERVAL_MS = 200;
    private static final int PUSH_ROUNDS = 8;
    private static final long TOLD_MS = 60_000;

    /** What is known of one leaving upstream. */
    private static final class Notice {
        private final long incarnation;
        private final long untilMillis;
        private int rounds = PUSH_ROUNDS;

        Notice(long incarnation, long untilMillis) {
            this.incarnation = incarnation;
            this.untilMillis = untilMillis;
        }
    }

    private final Tables tables;
    private final PeerDraw draw;
    private final Map<UpstreamId, Notice> notices = new TreeMap<>();
    private long nextPushMillis = Long.MIN_VALUE;

    public LeavingSystem(Tables tables, RandomGenerator random) {
        this.tables = tables;
        this.draw = new PeerDraw(tables, random);
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.onPeer(UpstreamAlerts.class, this::told);
    }

    @Override
    public void tick(Turn turn) {
        notices.values().removeIf(notice -> turn.now() >= notice.untilMillis);
        tables.upstreams().filter(row -> row.listed().leaving()).forEach(row -> note(row.id(), incarnation(row), turn));
        tables.upstreams().forEach(this::mark);
        if (turn.now() >= nextPushMillis) {
            nextPushMillis = turn.now() + PUSH_INTERVAL_MS;
            push(turn);
        }
    }

    private void told(InstanceId from, UpstreamAlerts message, Turn turn) {
        message.alerts().stream()
                .filter(alert -> alert.kind() == UpstreamAlert.Kind.LEAVING)
                .forEach(alert -> note(alert.upstream(), alert.incarnation(), turn));
    }

    private void note(UpstreamId upstream, long incarnation, Turn turn) {
        Notice held = notices.get(upstream);
        if (held == null || held.incarnation != incarnation) {
            notices.put(upstream, new Notice(incarnation, turn.now() + TOLD_MS));
            turn.changed("upstream-leaving", upstream.value());
        }
    }

    private void mark(UpstreamRow row) {
        Notice notice = notices.get(row.id());
        row.toldLeaving(notice != null && notice.incarnation == incarnation(row));
    }

    private void push(Turn turn) {
        List<UpstreamAlert> alerts = notices.entrySet().stream()
                .filter(entry -> entry.getValue().rounds > 0)
                .map(entry -> alert(entry.getKey(), entry.getValue(), turn.now()))
                .toList();
        notices.values().forEach(notice -> notice.rounds = Math.max(0, notice.rounds - 1));
        if (!alerts.isEmpty()) {
            draw.pair(turn.now()).forEach(peer -> turn.send(peer, new UpstreamAlerts(alerts, UpstreamAlerts.LAST_HOP)));
        }
    }

    private static UpstreamAlert alert(UpstreamId upstream, Notice notice, long now) {
        return new UpstreamAlert(upstream, UpstreamAlert.Kind.LEAVING, notice.incarnation, now, 0);
    }

    private static long incarnation(UpstreamRow row) {
        return Rendezvous.hash(row.listed().incarnation());
    }
}
