package org.cuminspur.internal.once;

import io.vavr.control.Option;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.once.ActionId;
import org.cuminspur.once.IdempotencyEvent;
import org.cuminspur.once.IdempotencyLedger.Claim;
import org.cuminspur.once.IdempotencyLedger.Decision;
import org.cuminspur.once.IdempotencyLedger.Outcome;
import org.cuminspur.once.IdempotencySettings;
import org.cuminspur.once.UndatedKeyPolicy;
import org.cuminspur.store.Store;
import org.cuminspur.time.Clock;

/**
 * Joins the parts of a ledger: checks keys, starts attempts and hands their ends on.
 *
 * <p>Thread-safe. The claims held here are only those of this process; one that ends takes its unsent claims with it,
 * and nothing sends them later.
 */
public final class LedgerCore {
    /** The most attempts that wait for the store at once; more would wait longer than it takes to refuse them. */
    private static final int MAX_OPEN = 32;
    /** How far ahead of this router's clock a key's time may be. */
    private static final long FUTURE_TOLERANCE_MS = 300_000;

    private record Held(RecordKey key, long modRevision, ActionRecord record) {}

    private final LedgerParts parts;
    private final String owner;
    private final RandomGenerator random;
    private final FinishQueue finishes;
    private final Fencing fencing;
    private final Sweeper sweeper;
    private final Map<String, Held> claims = new ConcurrentHashMap<>();
    private final AtomicInteger open = new AtomicInteger();

    public LedgerCore(
            IdempotencySettings settings,
            String owner,
            Store store,
            Clock clock,
            RandomGenerator random,
            Consumer<IdempotencyEvent> events) {
        this.owner = owner;
        this.random = new SharedRandom(random);
        StoreHealth health = new StoreHealth(clock, this.random, events);
        LedgerStore calls = new LedgerStore(store, health);
        parts = new LedgerParts(settings, clock, calls, health, new Floor(calls), events);
        finishes = new FinishQueue(parts);
        fencing = new Fencing(parts);
        sweeper = new Sweeper(parts, this.random);
    }

    /** Asks to run an action. */
    public void tryClaim(ActionId action, String fingerprint, long deadlineMillis, Consumer<Decision> reply) {
        RecordKey key = RecordKey.of(action);
        Option<Refusal> refused = refusedKey(key.timeMillis()).orElse(this::refusedStore);
        if (refused.isDefined()) {
            reply.accept(counted(new Decision.Refuse(refused.get())));
            return;
        }
        open.incrementAndGet();
        String attempt = owner + "-" + Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
        Claiming.Request request = new Claiming.Request(key, attempt, fingerprint, deadlineMillis);
        new Claiming(
                        parts,
                        request,
                        revision -> ended(reply, won(new Claim(action, attempt), request, revision)),
                        decision -> ended(reply, decision),
                        () -> fencing.add(request))
                .start();
    }

    /** Tells how a claimed action has ended; a claim that is not held changes nothing. */
    public void recordOutcome(Claim claim, Outcome outcome, Runnable tried) {
        Held held = claims.remove(claim.attemptId());
        if (held != null) {
            release(held, outcome, tried);
        } else {
            tried.run();
        }
    }

    /** Goes on with what has to be tried again or done from time to time. */
    public void tick() {
        if (parts.health().probeDue()) {
            parts.floor().refresh(floor -> {});
        }
        finishes.tick();
        fencing.tick();
        sweeper.tick();
    }

    /** Returns whether nothing is left to write. */
    public boolean idle() {
        return finishes.idle() && fencing.idle() && open.get() == 0;
    }

    private Decision won(Claim claim, Claiming.Request request, long modRevision) {
        Held held = new Held(request.key(), modRevision, request.pending());
        if (parts.clock().millis() >= request.deadlineMillis()) {
            release(held, new Outcome.NotRun(), () -> {});
            return Repeats.refuse(ErrorKind.DEADLINE_BEFORE_SEND);
        }
        claims.put(claim.attemptId(), held);
        return new Decision.Run(claim);
    }

    private void release(Held held, Outcome outcome, Runnable tried) {
        ActionRecord record = held.record().ended(outcome, parts.settings().maxStoredAnswerBytes());
        finishes.add(new FinishQueue.End(held.key(), held.modRevision(), RecordCodec.format(record)), tried);
    }

    private void ended(Consumer<Decision> reply, Decision decision) {
        open.decrementAndGet();
        reply.accept(counted(decision));
    }

    private Decision counted(Decision decision) {
        parts.events().accept(event(decision));
        return decision;
    }

    private static IdempotencyEvent event(Decision decision) {
        if (decision instanceof Decision.Refuse refuse) {
            boolean store = refuse.refusal().kind() == ErrorKind.STORE_UNAVAILABLE;
            return store ? IdempotencyEvent.REFUSED_STORE : IdempotencyEvent.REFUSED;
        }
        return decision instanceof Decision.Run ? IdempotencyEvent.CLAIMED : IdempotencyEvent.REPEATED;
    }

    private Option<Refusal> refusedKey(OptionalLong time) {
        long now = parts.clock().millis();
        if (time.isEmpty()) {
            return Option.when(
                    parts.settings().undatedKeyPolicy() == UndatedKeyPolicy.REFUSE,
                    Refusal.of(ErrorKind.BAD_REQUEST, "the idempotency key must be a UUID of version 7"));
        }
        if (now - time.getAsLong() > parts.settings().maxKeyAgeMillis()) {
            return Option.of(Refusal.of(ErrorKind.KEY_EXPIRED));
        }
        return Option.when(
                time.getAsLong() - now > FUTURE_TOLERANCE_MS,
                Refusal.of(ErrorKind.BAD_REQUEST, "the idempotency key is dated in the future"));
    }

    private Option<Refusal> refusedStore() {
        return Option.when(
                parts.health().down() || open.get() >= MAX_OPEN,
                () -> new Refusal(
                        ErrorKind.STORE_UNAVAILABLE, "", parts.health().retryAfterMillis()));
    }
}
