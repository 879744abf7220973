package org.cuminspur.internal.once;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cuminspur.once.IdempotencyEvent;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;

/**
 * Raises the expiry floor and deletes the records below it.
 *
 * <p>Thread-safe; at most one call to the store is open at a time. Every router periodically checks whether the floor
 * is due to rise, and the one whose compare-and-swap succeeds deletes. Concurrent or interrupted sweeps are harmless:
 * nothing can be written below the floor, and the next sweep continues from the stored checkpoint.
 */
final class ExpiredRecordSweeper {
    /** How much longer than the window a record is kept, to allow for clock skew between routers. */
    private static final long CLOCK_SKEW_MARGIN_MS = 300_000;
    /** The floor rises in steps of the window divided by this number. */
    private static final int FLOOR_STEPS_PER_WINDOW = 12;

    private static final int MAX_FLOOR_STEPS_AT_ONCE = 2;
    private static final int MAX_DELETES_PER_CALL = 100;
    private static final int SECONDS_PER_CHECKPOINT = 32;

    private final LedgerContext context;
    private final RandomGenerator random;
    private final long floorStepMillis;
    private boolean callOpen;
    private long nextFloorCheckMillis;
    private long nextSecond;
    private long endSecond;

    ExpiredRecordSweeper(LedgerContext context, RandomGenerator random) {
        this.context = context;
        this.random = random;
        this.floorStepMillis = Math.max(1_000, context.settings().maxKeyAgeMillis() / FLOOR_STEPS_PER_WINDOW);
    }

    /** Runs the next step, unless a call is open or the store is down. */
    void runStep() {
        long now = context.clock().millis();
        synchronized (this) {
            if (callOpen || context.health().down() || (nextSecond >= endSecond && now < nextFloorCheckMillis)) {
                return;
            }
            callOpen = true;
        }
        if (nextSecond < endSecond) {
            listNextSecond();
        } else {
            nextFloorCheckMillis = now + floorStepMillis / 2 + random.nextLong(floorStepMillis);
            context.floor().refresh(reply -> raiseFloorIfDue(reply, now));
        }
    }

    private void raiseFloorIfDue(Either<StoreFault, ExpiryFloor.Version> reply, long now) {
        long oldestAccepted = now - context.settings().maxKeyAgeMillis();
        if (reply.isRight() && reply.get().millis() > oldestAccepted) {
            context.events().accept(IdempotencyEvent.FLOOR_AHEAD);
        }
        if (reply.isLeft()
                || oldestAccepted - CLOCK_SKEW_MARGIN_MS - reply.get().millis() < floorStepMillis) {
            endCall();
            return;
        }
        ExpiryFloor.Version current = reply.get();
        // Limits each rise, so that one router whose clock is far ahead cannot make the fleet refuse every key at once.
        long newFloorMillis = current.modRevision().equals(StoreRevision.NONE)
                ? oldestAccepted - CLOCK_SKEW_MARGIN_MS
                : Math.min(
                        oldestAccepted - CLOCK_SKEW_MARGIN_MS,
                        current.millis() + MAX_FLOOR_STEPS_AT_ONCE * floorStepMillis);
        List<Txn.Put> puts = current.modRevision().equals(StoreRevision.NONE)
                ? List.of(put(RecordKey.FLOOR_KEY, newFloorMillis), put(RecordKey.SWEPT_KEY, newFloorMillis / 1_000))
                : List.of(put(RecordKey.FLOOR_KEY, newFloorMillis));
        Txn raise = new Txn(List.of(ExpiryFloor.unchangedCondition(current)), puts, List.of());
        context.store().commit(raise, result -> onFloorRaised(result, newFloorMillis));
    }

    private void onFloorRaised(Either<StoreFault, TxnResult> reply, long floorMillis) {
        if (reply.isLeft() || !reply.get().succeeded()) {
            endCall();
            return;
        }
        context.floor().update(new ExpiryFloor.Version(floorMillis, reply.get().revision()));
        context.store().range(RecordKey.SWEPT_KEY, view -> {
            view.peek(seen -> {
                nextSecond = seen.entry(RecordKey.SWEPT_KEY)
                        .flatMap(checkpoint ->
                                Try.of(() -> Long.parseLong(checkpoint.value())).toJavaOptional())
                        .orElse(floorMillis / 1_000);
                endSecond = floorMillis / 1_000;
            });
            endCall();
        });
    }

    private void listNextSecond() {
        context.store().range(RecordKey.secondPrefix(nextSecond), this::deleteListed);
    }

    private void deleteListed(Either<StoreFault, StoreView> reply) {
        if (reply.isLeft()) {
            endCall();
            return;
        }
        List<String> keys = reply.get().entries().stream()
                .map(StoreEntry::key)
                .limit(MAX_DELETES_PER_CALL)
                .toList();
        if (!keys.isEmpty()) {
            context.store().commit(new Txn(List.of(), List.of(), keys), deleted -> {
                deleted.peek(done -> context.events().accept(IdempotencyEvent.SWEPT));
                endCall();
            });
            return;
        }
        nextSecond++;
        if (nextSecond == endSecond || nextSecond % SECONDS_PER_CHECKPOINT == 0) {
            Txn checkpoint = new Txn(List.of(), List.of(put(RecordKey.SWEPT_KEY, nextSecond)), List.of());
            context.store().commit(checkpoint, written -> endCall());
        } else {
            endCall();
        }
    }

    private static Txn.Put put(String key, long value) {
        return Txn.Put.of(key, Long.toString(value));
    }

    private synchronized void endCall() {
        callOpen = false;
    }
}
