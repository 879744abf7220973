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
 * Sends digests of what this router holds: to a few peers right after a change, and to the probed peer and sometimes a
 * random one at each interval.
 *
 * <p>Used on the control thread only. The bytes sent do not depend on the fleet size, except for the lengths of router
 * names, and pushes are limited per second, however many changes there are.
 */
public final class GossipSystem implements ControlSystem {
    private static final long EXCHANGE_INTERVAL_MS = 1_000;
    private static final long PUSH_INTERVAL_MS = 200;
    private static final int PUSH_ROUNDS = 5;
    private static final long MAX_REPORTED_STORE_AGE_MS = 3_600_000;

    private record HeldVersions(Revision config, long orders) {}

    private final ControlState state;
    private final PeerSampler peers;
    private final FailureDetector failureDetector;
    private HeldVersions lastPushed = new HeldVersions(Revision.NONE, 0);
    private int pushRounds;
    private long nextPushMillis = Long.MIN_VALUE;
    private long nextExchangeMillis = Long.MIN_VALUE;

    public GossipSystem(ControlState state, RandomGenerator random) {
        this.state = state;
        this.peers = new PeerSampler(state, random);
        this.failureDetector = new FailureDetector(state, peers);
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.onPeerMessage(Digest.class, this::onDigest);
    }

    @Override
    public void tick(ControlStep step) {
        HeldVersions held = heldVersions();
        if (!held.equals(lastPushed)) {
            lastPushed = held;
            pushRounds = PUSH_ROUNDS;
        }
        if (pushRounds > 0 && step.now() >= nextPushMillis) {
            pushRounds--;
            nextPushMillis = step.now() + PUSH_INTERVAL_MS;
            Digest digest = digest(held, false, step.now());
            peers.randomPair(step.now()).forEach(peer -> step.send(peer, digest));
        }
        if (step.now() >= nextExchangeMillis) {
            nextExchangeMillis = step.now() + EXCHANGE_INTERVAL_MS;
            Collection<InstanceId> targets = failureDetector.probeTargets(step);
            Digest digest = digest(held, true, step.now());
            targets.forEach(peer -> step.send(peer, digest));
        }
    }

    private void onDigest(InstanceId from, Digest digest, ControlStep step) {
        failureDetector.onDigest(from, digest, step);
        if (digest.reply() || state.configDocument().revision().isNewerThan(digest.config())) {
            step.send(from, digest(heldVersions(), false, step.now()));
        }
    }

    private HeldVersions heldVersions() {
        return new HeldVersions(state.configDocument().revision(), OrderCodec.hash(state.orders()));
    }

    private Digest digest(HeldVersions held, boolean reply, long now) {
        return new Digest(
                state.self().domain(),
                held.config(),
                held.orders(),
                state.stopping(),
                reply,
                Math.max(0, Math.min(MAX_REPORTED_STORE_AGE_MS, state.storeAgeMillis(now))),
                failureDetector.lost(now));
    }

    /** Detects unresponsive peers by probing one at a time; used on the control thread only. */
    private static final class FailureDetector {
        private static final int MAX_MISSES = 3;
        private static final int MAX_SUSPECTS = 16;
        private static final int MAX_REPORTED_LOST = 3;
        private static final long UNRESPONSIVE_MS = 60_000;
        private static final long LOST_REPORT_MS = 10_000;
        private static final long RECENTLY_HEARD_MS = 5_000;

        private record Lost(InstanceId peer, long atMillis) {}

        private final ControlState state;
        private final PeerSampler peers;
        private final Deque<InstanceId> suspects = new ArrayDeque<>();
        private final Deque<Lost> lost = new ArrayDeque<>();
        private InstanceId probed;
        private long probeStartMillis;
        private int misses;

        FailureDetector(ControlState state, PeerSampler peers) {
            this.state = state;
            this.peers = peers;
        }

        /** Evaluates the last probe and returns the peers to send a digest to now. */
        Collection<InstanceId> probeTargets(ControlStep step) {
            evaluateProbe(step);
            List<InstanceId> targets = new ArrayList<>();
            if (probed == null) {
                misses = 0;
                probeStartMillis = step.now();
                probed = suspects.isEmpty() ? peers.randomPeer(step.now()).orElse(null) : suspects.poll();
            } else {
                peers.randomPeer(step.now())
                        .filter(peer -> !peer.equals(probed))
                        .ifPresent(targets::add);
            }
            if (probed != null) {
                targets.add(probed);
            }
            return targets;
        }

        /** Returns peers that have recently become unresponsive. */
        List<InstanceId> lost(long now) {
            lost.removeIf(lostPeer -> now - lostPeer.atMillis() > LOST_REPORT_MS);
            return lost.stream().limit(MAX_REPORTED_LOST).map(Lost::peer).toList();
        }

        void onDigest(InstanceId from, Digest digest, ControlStep step) {
            if (state.peer(from) != null) {
                state.peer(from).recordDigest(step.now(), digest.config(), digest.stopping());
            }
            digest.lost().stream()
                    .filter(peer -> isNewSuspect(peer, step.now()))
                    .limit(MAX_SUSPECTS - suspects.size())
                    .forEach(suspects::add);
        }

        private boolean isNewSuspect(InstanceId peer, long now) {
            return state.peer(peer) != null
                    && state.peer(peer).live(now)
                    && state.peer(peer).lastHeardMillis() < now - RECENTLY_HEARD_MS
                    && !suspects.contains(peer);
        }

        private void evaluateProbe(ControlStep step) {
            if (probed == null) {
                return;
            }
            if (state.peer(probed) == null || state.peer(probed).lastHeardMillis() >= probeStartMillis) {
                probed = null;
            } else if (++misses >= MAX_MISSES) {
                state.peer(probed).markUnresponsive(step.now() + UNRESPONSIVE_MS);
                lost.addFirst(new Lost(probed, step.now()));
                step.reportChange("peer-silent", probed.value());
                probed = null;
            }
        }
    }
}
