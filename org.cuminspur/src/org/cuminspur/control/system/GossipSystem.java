package org.cuminspur.control.system;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cuminspur.control.ControlState;
import org.cuminspur.control.ControlStep;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.message.PeerMessage.Digest;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.Revision;
import org.cuminspur.internal.config.OrderCodec;

/**
 * Tells peers what this router holds: a few at once after a change, and one drawn anew at each interval.
 *
 * <p>Used on the control thread only. The bytes sent do not depend on the size of the fleet, but for the names of
 * routers, and pushes after changes are bounded per second however many changes there are.
 */
public final class GossipSystem implements ControlSystem {
    private static final long EXCHANGE_INTERVAL_MS = 1_000;
    private static final long PUSH_INTERVAL_MS = 200;
    private static final int PUSH_ROUNDS = 5;
    private static final long MAX_AGE_MS = 3_600_000;

    private record Held(Revision config, long orders) {}

    private final ControlState state;
    private final PeerSampler draw;
    private final SilenceDetector silence;
    private Held pushed = new Held(Revision.NONE, 0);
    private int pushRounds;
    private long nextPushMillis = Long.MIN_VALUE;
    private long nextExchangeMillis = Long.MIN_VALUE;

    public GossipSystem(ControlState state, RandomGenerator random) {
        this.state = state;
        this.draw = new PeerSampler(state, random);
        this.silence = new SilenceDetector(state, draw);
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.onPeerMessage(Digest.class, this::heard);
    }

    @Override
    public void tick(ControlStep turn) {
        Held held = held();
        if (!held.equals(pushed)) {
            pushed = held;
            pushRounds = PUSH_ROUNDS;
        }
        if (pushRounds > 0 && turn.now() >= nextPushMillis) {
            pushRounds--;
            nextPushMillis = turn.now() + PUSH_INTERVAL_MS;
            Digest digest = digest(held, false, turn.now());
            draw.pair(turn.now()).forEach(peer -> turn.send(peer, digest));
        }
        if (turn.now() >= nextExchangeMillis) {
            nextExchangeMillis = turn.now() + EXCHANGE_INTERVAL_MS;
            Collection<InstanceId> peers = silence.next(turn);
            Digest digest = digest(held, true, turn.now());
            peers.forEach(peer -> turn.send(peer, digest));
        }
    }

    private void heard(InstanceId from, Digest digest, ControlStep turn) {
        silence.heard(from, digest, turn);
        if (digest.reply() || state.configDocument().revision().isNewerThan(digest.config())) {
            turn.send(from, digest(held(), false, turn.now()));
        }
    }

    private Held held() {
        return new Held(state.configDocument().revision(), OrderCodec.hash(state.orders()));
    }

    private Digest digest(Held held, boolean reply, long now) {
        return new Digest(
                state.self().domain(),
                held.config(),
                held.orders(),
                state.stopping(),
                reply,
                Math.max(0, Math.min(MAX_AGE_MS, state.storeAgeMillis(now))),
                silence.lost(now));
    }

    /** Finds peers that do not answer, by asking one at a time; used on the control thread only. */
    private static final class SilenceDetector {
        private static final int MAX_MISSES = 3;
        private static final int MAX_SUSPECTS = 16;
        private static final int MAX_TOLD = 3;
        private static final long SILENCE_MS = 60_000;
        private static final long TOLD_MS = 10_000;
        private static final long RECENT_MS = 5_000;

        private record Lost(InstanceId peer, long atMillis) {}

        private final ControlState state;
        private final PeerSampler draw;
        private final Deque<InstanceId> suspects = new ArrayDeque<>();
        private final Deque<Lost> lost = new ArrayDeque<>();
        private InstanceId asked;
        private long askedMillis;
        private int misses;

        SilenceDetector(ControlState state, PeerSampler draw) {
            this.state = state;
            this.draw = draw;
        }

        /** Settles the last question and returns the peers to ask now. */
        Collection<InstanceId> next(ControlStep turn) {
            settle(turn);
            List<InstanceId> peers = new ArrayList<>();
            if (asked == null) {
                misses = 0;
                askedMillis = turn.now();
                asked = suspects.isEmpty() ? draw.any(turn.now()).orElse(null) : suspects.poll();
            } else {
                draw.any(turn.now()).filter(peer -> !peer.equals(asked)).ifPresent(peers::add);
            }
            if (asked != null) {
                peers.add(asked);
            }
            return peers;
        }

        /** Returns peers that have just stopped answering. */
        List<InstanceId> lost(long now) {
            lost.removeIf(one -> now - one.atMillis() > TOLD_MS);
            return lost.stream().limit(MAX_TOLD).map(Lost::peer).toList();
        }

        void heard(InstanceId from, Digest digest, ControlStep turn) {
            if (state.peer(from) != null) {
                state.peer(from).recordDigest(turn.now(), digest.config(), digest.stopping());
            }
            digest.lost().stream()
                    .filter(peer -> suspect(peer, turn.now()))
                    .limit(MAX_SUSPECTS - suspects.size())
                    .forEach(suspects::add);
        }

        private boolean suspect(InstanceId peer, long now) {
            return state.peer(peer) != null
                    && state.peer(peer).live(now)
                    && state.peer(peer).lastHeardMillis() < now - RECENT_MS
                    && !suspects.contains(peer);
        }

        private void settle(ControlStep turn) {
            if (asked == null) {
                return;
            }
            if (state.peer(asked) == null || state.peer(asked).lastHeardMillis() >= askedMillis) {
                asked = null;
            } else if (++misses >= MAX_MISSES) {
                state.peer(asked).markUnresponsive(turn.now() + SILENCE_MS);
                lost.addFirst(new Lost(asked, turn.now()));
                turn.reportChange("peer-silent", asked.value());
                asked = null;
            }
        }
    }
}
