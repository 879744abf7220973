package org.cuminspur.internal.once;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cuminspur.once.IdempotencyEvent;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;

/**
 * Raises the floor and deletes the records below it.
 *
 * <p>Thread-safe; at most one call to the store is open at a time. Every router looks now and then whether the floor is
 * due, and the one whose swap takes effect sweeps. Two that sweep at once, or one that stops half way, harm nothing:
 * nothing can be written below the floor, and the next one goes on from the mark.
 */
final class Sweeper {
    /** How much longer than the window a record stays, for routers whose clocks differ. */
    private static final long MARGIN_MS = 300_000;
    /** The floor rises by this share of the window at a time. */
    private static final int STEPS_PER_WINDOW = 12;

    private static final int MAX_STEPS_AT_ONCE = 2;
    private static final int MAX_DELETES = 100;
    private static final int SECONDS_PER_MARK = 32;

    private final LedgerParts parts;
    private final RandomGenerator random;
    private final long stepMillis;
    private boolean busy;
    private long nextLook;
    private long position;
    private long end;

    Sweeper(LedgerParts parts, RandomGenerator random) {
        this.parts = parts;
        this.random = random;
        this.stepMillis = Math.max(1_000, parts.settings().maxKeyAgeMillis() / STEPS_PER_WINDOW);
    }

    /** Takes the next step, unless a call is open or the store is down. */
    void tick() {
        long now = parts.clock().millis();
        synchronized (this) {
            if (busy || parts.health().down() || (position >= end && now < nextLook)) {
                return;
            }
            busy = true;
        }
        if (position < end) {
            sweepSecond();
        } else {
            nextLook = now + stepMillis / 2 + random.nextLong(stepMillis);
            parts.floor().refresh(reply -> look(reply, now));
        }
    }

    private void look(Either<StoreFault, Floor.Version> reply, long now) {
        long oldest = now - parts.settings().maxKeyAgeMillis();
        if (reply.isRight() && reply.get().millis() > oldest) {
            parts.events().accept(IdempotencyEvent.FLOOR_AHEAD);
        }
        if (reply.isLeft() || oldest - MARGIN_MS - reply.get().millis() < stepMillis) {
            free();
            return;
        }
        Floor.Version old = reply.get();
        // A router whose clock is far ahead must not be able to refuse every key of the fleet at one stroke.
        long wanted = old.modRevision() == 0
                ? oldest - MARGIN_MS
                : Math.min(oldest - MARGIN_MS, old.millis() + MAX_STEPS_AT_ONCE * stepMillis);
        List<Txn.Put> puts = old.modRevision() == 0
                ? List.of(put(RecordKey.FLOOR, wanted), put(RecordKey.SWEPT, wanted / 1_000))
                : List.of(put(RecordKey.FLOOR, wanted));
        Txn raise = new Txn(List.of(Floor.unchanged(old)), puts, List.of());
        parts.store().commit(raise, result -> raised(result, wanted));
    }

    private void raised(Either<StoreFault, TxnResult> reply, long floorMillis) {
        if (reply.isLeft() || !reply.get().succeeded()) {
            free();
            return;
        }
        parts.floor().learn(new Floor.Version(floorMillis, reply.get().revision()));
        parts.store().range(RecordKey.SWEPT, view -> {
            view.peek(seen -> {
                position = seen.entry(RecordKey.SWEPT)
                        .flatMap(mark ->
                                Try.of(() -> Long.parseLong(mark.value())).toJavaOptional())
                        .orElse(floorMillis / 1_000);
                end = floorMillis / 1_000;
            });
            free();
        });
    }

    private void sweepSecond() {
        parts.store().range(RecordKey.second(position), this::listed);
    }

    private void listed(Either<StoreFault, StoreView> reply) {
        if (reply.isLeft()) {
            free();
            return;
        }
        List<String> keys = reply.get().entries().stream()
                .map(StoreEntry::key)
                .limit(MAX_DELETES)
                .toList();
        if (!keys.isEmpty()) {
            parts.store().commit(new Txn(List.of(), List.of(), keys), deleted -> {
                deleted.peek(done -> parts.events().accept(IdempotencyEvent.SWEPT));
                free();
            });
            return;
        }
        position++;
        if (position == end || position % SECONDS_PER_MARK == 0) {
            Txn mark = new Txn(List.of(), List.of(put(RecordKey.SWEPT, position)), List.of());
            parts.store().commit(mark, marked -> free());
        } else {
            free();
        }
    }

    private static Txn.Put put(String key, long value) {
        return Txn.Put.of(key, Long.toString(value));
    }

    private synchronized void free() {
        busy = false;
    }
}
