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
import org.cuminspur.testing.MemoryStore;
import org.cuminspur.testing.VirtualTime;
import org.cuminspur.time.Clock;

/**
 * One router's path of an action: ledger, upstream, ledger, caller.
 *
 * <p>Used by one thread. Every step runs through the router's gate, so a fault can strike between any two.
 */
public final class OnceRouter {
    /** Makes the ledger of one router. */
    @FunctionalInterface
    public interface Ledgers {
        /** Returns a ledger that runs on nothing but what it is given. */
        IdempotencyLedger create(String owner, Store store, Clock clock, RandomGenerator random);
    }

    private final VirtualTime time;
    private final RandomGenerator random;
    private final OnceUpstream upstream;
    private final Gate gate = new Gate();
    private final MemoryStore memory;
    private final LateStore store;
    private final IdempotencyLedger ledger;
    private final Set<OnceRequest> waiting = new HashSet<>();
    private long clockSkewMillis;

    OnceRouter(
            String name,
            VirtualTime time,
            RandomGenerator random,
            MemoryStore memory,
            OnceUpstream upstream,
            Ledgers ledgers) {
        this.time = time;
        this.random = random;
        this.memory = memory;
        this.upstream = upstream;
        store = new LateStore(memory, time, random, gate);
        ledger = ledgers.create(name, store, () -> time.now() + clockSkewMillis, random);
        time.every(StoreIdempotencyLedger.TICK_INTERVAL_MS, this::tick);
    }

    /** Returns what reaches this router. */
    public Gate gate() {
        return gate;
    }

    /** Returns this router's way to the store, with faults and counts of its own. */
    public MemoryStore store() {
        return memory;
    }

    /** Sets the share of writes that take effect long after they were given up. */
    public void lateWriteShare(double share) {
        store.lateShare(share);
    }

    /** Sets how far this router's clock is ahead. */
    public void clockSkewMillis(long millis) {
        clockSkewMillis = millis;
    }

    void request(OnceRequest request) {
        gate.deliver(() -> ledger.tryClaim(
                request.action(),
                request.fingerprint(),
                request.deadlineMillis() + clockSkewMillis,
                decision -> decided(request, decision)));
    }

    private boolean tick() {
        if (ledger instanceof StoreIdempotencyLedger ticked && !gate.frozen()) {
            gate.pass(ticked::tick);
        }
        return gate.alive();
    }

    private void decided(OnceRequest request, Decision decision) {
        if (decision instanceof Decision.Run run) {
            time.after(random.nextLong(3), () -> gate.deliver(() -> send(request, run.claim())));
        } else if (decision instanceof Decision.Replay repeat) {
            request.tell(Either.right(repeat.answer()), true);
        } else if (decision instanceof Decision.Refuse refuse) {
            request.tell(Either.left(refuse.refusal()), false);
        }
    }

    private void send(OnceRequest request, Claim claim) {
        waiting.add(request);
        upstream.send(request, outcome -> gate.deliver(() -> ended(request, claim, outcome, ErrorKind.UPSTREAM_BROKE)));
        time.after(
                request.deadlineMillis() - time.now(),
                () -> gate.deliver(() -> ended(request, claim, new Outcome.Unknown(), ErrorKind.DEADLINE_AFTER_SEND)));
    }

    private void ended(OnceRequest request, Claim claim, Outcome outcome, ErrorKind unknown) {
        if (!waiting.remove(request)) {
            return;
        }
        if (outcome instanceof Outcome.Answered answered) {
            request.tell(Either.right(answered.answer()), false);
        } else {
            boolean notSent = outcome instanceof Outcome.NotRun;
            request.tell(Either.left(Refusal.of(notSent ? ErrorKind.UPSTREAM_UNREACHABLE : unknown)), false);
        }
        ledger.recordOutcome(claim, outcome);
    }
}
