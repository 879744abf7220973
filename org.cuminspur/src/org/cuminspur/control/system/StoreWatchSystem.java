package org.cuminspur.control.system;

import java.util.random.RandomGenerator;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ControlOutput;
import org.cuminspur.control.ControlState;
import org.cuminspur.control.ControlStep;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.message.PeerMessage.Digest;
import org.cuminspur.id.InstanceId;
import org.cuminspur.internal.hash.Rendezvous;
import org.cuminspur.store.StoreKeys;

/**
 * Decides when this router watches and reads the platform's store on behalf of its failure domain.
 *
 * <p>Used on the control thread only. A rendezvous hash over the domain's live routers assigns the watch to a few of
 * them. They also read the configuration head and the orders at every interval, in case the watch has silently stopped.
 * If the fleet's latest read is old, each router reads occasionally, at a rate that falls with the fleet size, so that
 * disagreement on who watches costs no more than a short delay.
 */
public final class StoreWatchSystem implements ControlSystem {
    private static final int WATCHERS_PER_DOMAIN = 3;
    private static final long READ_INTERVAL_MS = 1_000;
    private static final long REPLY_TIMEOUT_MS = 3_000;
    private static final long WATCH_BACKOFF_MS = 1_000;
    private static final long LIST_WAIT_MS = 1_500;
    private static final long STALE_READ_AGE_MS = 2_000;
    private static final long TICK_MS = 100;
    private static final double FALLBACK_READS_PER_SECOND = 4;
    private static final long WATCH_KEY = Rendezvous.hash("store-watch");

    private final ControlState state;
    private final RandomGenerator random;
    private long firstTickMillis = Long.MAX_VALUE;
    private long nextReadMillis = Long.MIN_VALUE;
    private long nextWatchMillis = Long.MIN_VALUE;
    private boolean assigned;
    private boolean watching;

    public StoreWatchSystem(ControlState state, RandomGenerator random) {
        this.state = state;
        this.random = random;
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.on(ControlInput.StoreRead.class, this::onStoreRead);
        handlers.on(ControlInput.StoreChanged.class, (input, step) -> state.recordStoreRead(step.now()));
        handlers.on(ControlInput.WatchEnded.class, this::onWatchEnded);
        handlers.onPeerMessage(
                Digest.class, (from, digest, step) -> state.recordStoreRead(step.now() - digest.storeAgeMillis()));
    }

    @Override
    public void tick(ControlStep step) {
        firstTickMillis = Math.min(firstTickMillis, step.now());
        boolean nowAssigned = isAssigned(step.now());
        if (assigned && !nowAssigned) {
            stopWatching(step);
        }
        assigned = nowAssigned;
        if (step.now() >= nextReadMillis && (assigned || isFallbackReadDue(step.now()))) {
            nextReadMillis = step.now() + REPLY_TIMEOUT_MS;
            step.outputs().accept(new ControlOutput.ReadStore(StoreKeys.CURRENT_PREFIX));
        }
    }

    private boolean isAssigned(long now) {
        boolean listWaitOver = state.peers().findAny().isPresent() || now - firstTickMillis >= LIST_WAIT_MS;
        double ownScore = score(state.self().id());
        return listWaitOver
                && !state.stopping()
                && state.livePeers(now)
                                .filter(peer ->
                                        peer.domain().equals(state.self().domain()))
                                .filter(peer -> score(peer.id()) > ownScore)
                                .count()
                        < WATCHERS_PER_DOMAIN;
    }

    private static double score(InstanceId id) {
        return Rendezvous.score(WATCH_KEY, Rendezvous.hash(id.value()), 1);
    }

    private boolean isFallbackReadDue(long now) {
        double routers = 1 + state.livePeers(now).count();
        return state.storeAgeMillis(now) > STALE_READ_AGE_MS
                && random.nextDouble() < FALLBACK_READS_PER_SECOND * TICK_MS / 1_000 / routers;
    }

    private void onStoreRead(ControlInput.StoreRead input, ControlStep step) {
        if (input.prefix().equals(StoreKeys.CURRENT_PREFIX)) {
            nextReadMillis = step.now() + READ_INTERVAL_MS;
        }
        input.reply().forEach(view -> {
            state.recordStoreRead(step.now());
            if (assigned && !watching && step.now() >= nextWatchMillis) {
                watching = true;
                step.outputs().accept(new ControlOutput.StartWatch(StoreKeys.CONFIG_PREFIX, view.revision()));
            }
        });
    }

    private void onWatchEnded(ControlInput.WatchEnded input, ControlStep step) {
        if (input.prefix().equals(StoreKeys.CONFIG_PREFIX)) {
            watching = false;
            nextWatchMillis = step.now() + WATCH_BACKOFF_MS;
        }
    }

    private void stopWatching(ControlStep step) {
        if (watching) {
            watching = false;
            nextWatchMillis = step.now() + WATCH_BACKOFF_MS;
            step.outputs().accept(new ControlOutput.StopWatch(StoreKeys.CONFIG_PREFIX));
        }
    }
}
