package org.cuminspur.testing.once;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.once.IdempotencyLedger;
import org.cuminspur.once.IdempotencyLedger.Claim;
import org.cuminspur.once.IdempotencyLedger.Decision;
import org.cuminspur.once.IdempotencyLedger.Outcome;
import org.cuminspur.once.StoreIdempotencyLedger;
import org.cuminspur.store.Store;
import org.cuminspur.testing.SimulatedStore;
import org.cuminspur.testing.VirtualTime;
import org.cuminspur.time.Clock;

/**
 * A simulated router, which claims an action, sends it upstream, answers the caller and records the outcome.
 *
 * <p>Not thread-safe. Every step is a message to the router's process, so a fault can occur between any two.
 */
public final class SimulatedRouter {
    /** Creates the ledger of one router. */
    @FunctionalInterface
    public interface LedgerFactory {
        /** Returns a ledger that depends only on its arguments, so that runs are reproducible. */
        IdempotencyLedger create(String instanceName, Store store, Clock clock, RandomGenerator random);
    }

    private final VirtualTime time;
    private final RandomGenerator random;
    private final SimulatedUpstream upstream;
    private final SimulatedProcess process = new SimulatedProcess();
    private final SimulatedStore memoryStore;
    private final DelayedWriteStore delayedStore;
    private final IdempotencyLedger ledger;
    private final Set<SimulatedRequest> unanswered = new HashSet<>();
    private long clockSkewMillis;

    SimulatedRouter(
            String name,
            VirtualTime time,
            RandomGenerator random,
            SimulatedStore memoryStore,
            SimulatedUpstream upstream,
            LedgerFactory ledgers) {
        this.time = time;
        this.random = random;
        this.memoryStore = memoryStore;
        this.upstream = upstream;
        delayedStore = new DelayedWriteStore(memoryStore, time, random, process);
        ledger = ledgers.create(name, delayedStore, () -> time.nowMillis() + clockSkewMillis, random);
        time.scheduleRepeating(StoreIdempotencyLedger.TICK_INTERVAL_MS, this::tickLedger);
    }

    /** Returns the process that runs this router. */
    public SimulatedProcess process() {
        return process;
    }

    /** Returns this router's connection to the store, with its own faults and counts. */
    public SimulatedStore store() {
        return memoryStore;
    }

    /** Sets the share of writes, from 0 to 1, that take effect long after their timeout. */
    public void delayedWriteShare(double share) {
        delayedStore.delayedShare(share);
    }

    /** Sets how far this router's clock is ahead of virtual time. */
    public void clockSkewMillis(long millis) {
        clockSkewMillis = millis;
    }

    void receive(SimulatedRequest request) {
        process.deliver(() -> ledger.tryClaim(
                request.action(),
                request.fingerprint(),
                request.deadlineMillis() + clockSkewMillis,
                decision -> onDecision(request, decision)));
    }

    private boolean tickLedger() {
        if (ledger instanceof StoreIdempotencyLedger ticked && !process.paused()) {
            process.deliverUncounted(ticked::tick);
        }
        return process.alive();
    }

    private void onDecision(SimulatedRequest request, Decision decision) {
        if (decision instanceof Decision.Run run) {
            time.schedule(random.nextLong(3), () -> process.deliver(() -> send(request, run.claim())));
        } else if (decision instanceof Decision.Replay replay) {
            request.respond(Either.right(replay.answer()), true);
        } else if (decision instanceof Decision.Refuse refuse) {
            request.respond(Either.left(refuse.refusal()), false);
        }
    }

    private void send(SimulatedRequest request, Claim claim) {
        unanswered.add(request);
        upstream.send(
                request,
                outcome -> process.deliver(() -> onOutcome(request, claim, outcome, ErrorKind.UPSTREAM_BROKE)));
        time.schedule(
                request.deadlineMillis() - time.nowMillis(),
                () -> process.deliver(
                        () -> onOutcome(request, claim, new Outcome.Unknown(), ErrorKind.DEADLINE_AFTER_SEND)));
    }

    private void onOutcome(SimulatedRequest request, Claim claim, Outcome outcome, ErrorKind unknownKind) {
        if (!unanswered.remove(request)) {
            return;
        }
        if (outcome instanceof Outcome.Answered answered) {
            request.respond(Either.right(answered.answer()), false);
        } else {
            boolean notRun = outcome instanceof Outcome.NotRun;
            request.respond(Either.left(Refusal.of(notRun ? ErrorKind.UPSTREAM_UNREACHABLE : unknownKind)), false);
        }
        ledger.recordOutcome(claim, outcome);
    }
}
