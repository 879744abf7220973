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
import org.cuminspur.store.StoreRevision;
import org.cuminspur.time.Clock;

/**
 * Checks idempotency keys, starts claim attempts and queues the outcomes of claimed actions.
 *
 * <p>Thread-safe. Holds only the claims of this process; when the process ends, its unsent claims are lost and are
 * never sent later.
 */
public final class ClaimCoordinator {
    /** Limit on claim attempts that wait for the store; refusing further ones is faster than letting them wait. */
    private static final int MAX_PENDING_CLAIMS = 32;
    /** How far a key's timestamp may be ahead of this router's clock. */
    private static final long FUTURE_TOLERANCE_MS = 300_000;

    private record HeldClaim(RecordKey key, StoreRevision modRevision, ActionRecord record) {}

    private final LedgerContext context;
    private final String instanceName;
    private final RandomGenerator random;
    private final OutcomeQueue outcomes;
    private final AbandonedClaimFencer fencer;
    private final ExpiredRecordSweeper sweeper;
    private final Map<String, HeldClaim> heldClaims = new ConcurrentHashMap<>();
    private final AtomicInteger pendingClaims = new AtomicInteger();

    public ClaimCoordinator(
            IdempotencySettings settings,
            String instanceName,
            Store store,
            Clock clock,
            RandomGenerator random,
            Consumer<IdempotencyEvent> events) {
        this.instanceName = instanceName;
        this.random = new SynchronizedRandom(random);
        StoreHealth health = new StoreHealth(clock, this.random, events);
        MonitoredStore monitored = new MonitoredStore(store, health);
        context = new LedgerContext(settings, clock, monitored, health, new ExpiryFloor(monitored), events);
        outcomes = new OutcomeQueue(context);
        fencer = new AbandonedClaimFencer(context);
        sweeper = new ExpiredRecordSweeper(context, this.random);
    }

    /** Requests the right to run an action. */
    public void tryClaim(ActionId action, String fingerprint, long deadlineMillis, Consumer<Decision> onDecision) {
        RecordKey key = RecordKey.of(action);
        Option<Refusal> refusal = keyRefusal(key.keyTimeMillis()).orElse(this::storeRefusal);
        if (refusal.isDefined()) {
            onDecision.accept(count(new Decision.Refuse(refusal.get())));
            return;
        }
        pendingClaims.incrementAndGet();
        String attemptId =
                instanceName + "-" + Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
        ClaimAttempt.Request request = new ClaimAttempt.Request(key, attemptId, fingerprint, deadlineMillis);
        new ClaimAttempt(
                        context,
                        request,
                        revision ->
                                complete(onDecision, decideClaimed(new Claim(action, attemptId), request, revision)),
                        decision -> complete(onDecision, decision),
                        () -> fencer.add(request))
                .start();
    }

    /** Records the outcome of a claimed action; has no effect on the record if the claim is not held. */
    public void recordOutcome(Claim claim, Outcome outcome, Runnable onRecordAttempted) {
        HeldClaim held = heldClaims.remove(claim.attemptId());
        if (held != null) {
            queueOutcome(held, outcome, onRecordAttempted);
        } else {
            onRecordAttempted.run();
        }
    }

    /** Runs retries and periodic work. */
    public void tick() {
        if (context.health().probeDue()) {
            context.floor().refresh(floor -> {});
        }
        outcomes.writeNextBatch();
        fencer.fenceNext();
        sweeper.runStep();
    }

    /** Returns whether no claim or write is pending. */
    public boolean idle() {
        return outcomes.idle() && fencer.idle() && pendingClaims.get() == 0;
    }

    private Decision decideClaimed(Claim claim, ClaimAttempt.Request request, StoreRevision modRevision) {
        HeldClaim held = new HeldClaim(request.key(), modRevision, request.pendingRecord());
        if (context.clock().millis() >= request.deadlineMillis()) {
            queueOutcome(held, new Outcome.NotRun(), () -> {});
            return RepeatDecisions.refuse(ErrorKind.DEADLINE_BEFORE_SEND);
        }
        heldClaims.put(claim.attemptId(), held);
        return new Decision.Run(claim);
    }

    private void queueOutcome(HeldClaim held, Outcome outcome, Runnable onRecordAttempted) {
        ActionRecord record =
                held.record().withOutcome(outcome, context.settings().maxStoredAnswerBytes());
        outcomes.add(
                new OutcomeQueue.OutcomeWrite(held.key(), held.modRevision(), RecordCodec.format(record)),
                onRecordAttempted);
    }

    private void complete(Consumer<Decision> onDecision, Decision decision) {
        pendingClaims.decrementAndGet();
        onDecision.accept(count(decision));
    }

    private Decision count(Decision decision) {
        context.events().accept(eventFor(decision));
        return decision;
    }

    private static IdempotencyEvent eventFor(Decision decision) {
        if (decision instanceof Decision.Refuse refuse) {
            boolean store = refuse.refusal().kind() == ErrorKind.STORE_UNAVAILABLE;
            return store ? IdempotencyEvent.REFUSED_STORE : IdempotencyEvent.REFUSED;
        }
        return decision instanceof Decision.Run ? IdempotencyEvent.CLAIMED : IdempotencyEvent.REPEATED;
    }

    private Option<Refusal> keyRefusal(OptionalLong keyTime) {
        long now = context.clock().millis();
        if (keyTime.isEmpty()) {
            return Option.when(
                    context.settings().undatedKeyPolicy() == UndatedKeyPolicy.REFUSE,
                    Refusal.of(ErrorKind.BAD_REQUEST, "the idempotency key must be a UUID of version 7"));
        }
        if (now - keyTime.getAsLong() > context.settings().maxKeyAgeMillis()) {
            return Option.of(Refusal.of(ErrorKind.KEY_EXPIRED));
        }
        return Option.when(
                keyTime.getAsLong() - now > FUTURE_TOLERANCE_MS,
                Refusal.of(ErrorKind.BAD_REQUEST, "the idempotency key is dated in the future"));
    }

    private Option<Refusal> storeRefusal() {
        return Option.when(
                context.health().down() || pendingClaims.get() >= MAX_PENDING_CLAIMS,
                () -> new Refusal(
                        ErrorKind.STORE_UNAVAILABLE, "", context.health().retryAfterMillis()));
    }
}
