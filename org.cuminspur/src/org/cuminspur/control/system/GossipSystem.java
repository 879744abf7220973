package org.cuminspur.control.system;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.PeerRow;
import org.cuminspur.control.Tables;
import org.cuminspur.control.Turn;
import org.cuminspur.control.message.PeerMessage.Digest;
import org.cuminspur.id.InstanceId;
import org.cuminspur.internal.config.OrderCodec;

/**
 * Tells a few peers, drawn anew at each interval, what this router holds.
 *
 * <p>Used on the control thread only. The bytes sent do not depend on the size of the fleet.
 */
public final class GossipSystem implements ControlSystem {
    private static final long INTERVAL_MS = 500;
    private static final int FANOUT = 3;

    private final Tables tables;
    private final RandomGenerator random;
    private long nextMillis = Long.MIN_VALUE;

    public GossipSystem(Tables tables, RandomGenerator random) {
        this.tables = tables;
        this.random = random;
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.onPeer(Digest.class, this::heard);
    }

    @Override
    public void tick(Turn turn) {
        if (turn.now() < nextMillis) {
            return;
        }
        nextMillis = turn.now() + INTERVAL_MS;
        Digest digest = new Digest(
                tables.self().domain(),
                tables.document().revision(),
                OrderCodec.hash(tables.orders()),
                tables.stopping());
        draw().forEach(peer -> turn.send(peer, digest));
    }

    private void heard(InstanceId from, Digest digest, Turn turn) {
        PeerRow peer = tables.peer(from);
        if (peer != null) {
            peer.heard(turn.now(), digest.config(), digest.stopping());
        }
    }

    private List<InstanceId> draw() {
        List<InstanceId> all = new ArrayList<>(tables.peers().map(PeerRow::id).toList());
        List<InstanceId> drawn = new ArrayList<>();
        while (drawn.size() < FANOUT && !all.isEmpty()) {
            drawn.add(all.remove(random.nextInt(all.size())));
        }
        return drawn;
    }
}
