package org.cuminspur.internal.once;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.cuminspur.internal.once.ActionRecord.State;
import org.cuminspur.once.IdempotencyEvent;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.TxnResult;

/**
 * Makes sure that attempts which were given up leave no pending record behind.
 *
 * <p>Thread-safe; at most one call to the store is open at a time. Reading that a record is absent proves nothing about
 * a write that may still take effect, so the record is written as released: then the late write meets a revision that
 * it does not compare with. If this router ends first, the worst is a record that stays pending, whose repeats are told
 * that the outcome is unknown.
 */
final class Fencing {
    private static final int MAX_HELD = 1_024;

    private record Abandoned(RecordKey key, String attempt, String fingerprint) {}

    private final LedgerParts parts;
    private final Deque<Abandoned> held = new ArrayDeque<>();
    private boolean busy;

    Fencing(LedgerParts parts) {
        this.parts = parts;
    }

    /** Takes an attempt that was given up. */
    synchronized void add(Claiming.Request request) {
        if (held.size() < MAX_HELD) {
            held.add(new Abandoned(request.key(), request.attempt(), request.fingerprint()));
        }
    }

    /** Returns whether no attempt is left to fence off. */
    synchronized boolean idle() {
        return held.isEmpty();
    }

    /** Goes on with the oldest attempt, unless a call is open or the store is down. */
    void tick() {
        Abandoned next = take();
        if (next != null) {
            parts.store().range(next.key().storeKey(), reply -> seen(next, reply));
        }
    }

    private synchronized Abandoned take() {
        if (busy || held.isEmpty() || parts.health().down()) {
            return null;
        }
        busy = true;
        return held.peek();
    }

    private void seen(Abandoned abandoned, Either<StoreFault, StoreView> reply) {
        if (reply.isLeft()) {
            retryLater();
            return;
        }
        Optional<StoreEntry> entry = reply.get().entry(abandoned.key().storeKey());
        long modRevision = entry.map(StoreEntry::modRevision).orElse(0L);
        if (entry.isEmpty() || needsFence(abandoned, entry.get())) {
            fence(abandoned, modRevision);
        } else {
            done(IdempotencyEvent.FENCED);
        }
    }

    private static boolean needsFence(Abandoned abandoned, StoreEntry entry) {
        return RecordCodec.parse(entry.value())
                .exists(record -> record.attempt().equals(abandoned.attempt())
                        ? record.state() == State.PENDING
                        : record.state() == State.RELEASED);
    }

    private void fence(Abandoned abandoned, long modRevision) {
        parts.floor().refresh(floor -> {
            if (floor.isLeft()) {
                retryLater();
            } else if (LedgerParts.expired(abandoned.key(), floor.get())) {
                done(IdempotencyEvent.FENCED);
            } else {
                ActionRecord released = ActionRecord.released(abandoned.attempt(), abandoned.fingerprint());
                parts.store()
                        .commit(LedgerParts.write(abandoned.key(), modRevision, released, floor.get()), this::fenced);
            }
        });
    }

    private void fenced(Either<StoreFault, TxnResult> reply) {
        if (reply.isRight() && reply.get().succeeded()) {
            done(IdempotencyEvent.FENCED);
        } else {
            retryLater();
        }
    }

    private void done(IdempotencyEvent event) {
        parts.events().accept(event);
        synchronized (this) {
            held.remove();
            busy = false;
        }
        tick();
    }

    private synchronized void retryLater() {
        busy = false;
    }
}
