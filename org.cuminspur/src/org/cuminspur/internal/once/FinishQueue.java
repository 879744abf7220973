package org.cuminspur.internal.once;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cuminspur.once.IdempotencyEvent;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;

/**
 * Records how actions ended, several in one write when the store is slower than they end.
 *
 * <p>Thread-safe; at most one call to the store is open at a time, and ends that arrive meanwhile form the next write.
 * Each end is written only over its own claim, so a write may be repeated or take effect late. An end that cannot be
 * kept is counted as lost: its record stays pending, and repeats are told that the outcome is unknown.
 */
final class FinishQueue {
    private static final int MAX_HELD = 1_024;
    private static final int MAX_BATCH = 32;
    private static final int MAX_BATCH_CHARS = 256 * 1_024;

    /** The end of one claim; immutable. */
    record End(RecordKey key, long modRevision, String value) {}

    private final LedgerParts parts;
    private final Deque<End> held = new ArrayDeque<>();
    private final Map<End, Runnable> waiting = new IdentityHashMap<>();
    private boolean busy;
    private int singles;

    FinishQueue(LedgerParts parts) {
        this.parts = parts;
    }

    /** Takes an end and writes it as soon as no other write is open; {@code tried} runs after the first try. */
    void add(End end, Runnable tried) {
        if (!hold(end, tried)) {
            parts.events().accept(IdempotencyEvent.FINISH_LOST);
            tried.run();
        } else if (parts.health().down()) {
            tried(List.of(end));
        } else {
            tick();
        }
    }

    /** Returns whether every end has been written. */
    synchronized boolean idle() {
        return held.isEmpty() && !busy;
    }

    /** Writes the oldest ends, unless a write is open or the store is down. */
    void tick() {
        List<End> batch = take();
        if (!batch.isEmpty()) {
            parts.store().commit(txn(batch), reply -> written(batch, reply));
        }
    }

    private synchronized boolean hold(End end, Runnable tried) {
        if (held.size() >= MAX_HELD) {
            return false;
        }
        held.add(end);
        waiting.put(end, tried);
        return true;
    }

    private void tried(List<End> ends) {
        List<Runnable> actions;
        synchronized (this) {
            actions =
                    ends.stream().map(waiting::remove).filter(Objects::nonNull).toList();
        }
        actions.forEach(Runnable::run);
    }

    private synchronized List<End> take() {
        List<End> batch = new ArrayList<>();
        if (busy || parts.health().down()) {
            return batch;
        }
        int limit = singles > 0 ? 1 : MAX_BATCH;
        int chars = 0;
        while (!held.isEmpty() && batch.size() < limit && chars < MAX_BATCH_CHARS) {
            End end = held.remove();
            chars += end.value().length();
            batch.add(end);
        }
        singles = Math.max(0, singles - batch.size());
        busy = !batch.isEmpty();
        return batch;
    }

    private static Txn txn(List<End> batch) {
        return new Txn(
                batch.stream()
                        .map(end -> new Txn.Compare(end.key().storeKey(), end.modRevision()))
                        .toList(),
                batch.stream()
                        .map(end -> Txn.Put.of(end.key().storeKey(), end.value()))
                        .toList(),
                List.of());
    }

    private void written(List<End> batch, Either<StoreFault, TxnResult> reply) {
        boolean written = reply.isRight() && reply.get().succeeded();
        // Alone, an unmet condition means that an earlier write of the same end took effect or the record expired.
        boolean settled = reply.isRight() && batch.size() == 1;
        if (written || settled) {
            batch.forEach(end -> parts.events().accept(IdempotencyEvent.FINISHED));
            release();
            tried(batch);
            tick();
        } else if (reply.isRight()) {
            putBack(batch, true);
            tick();
        } else {
            putBack(batch, false);
            tried(batch);
        }
    }

    private synchronized void release() {
        busy = false;
    }

    private synchronized void putBack(List<End> batch, boolean singly) {
        for (int i = batch.size() - 1; i >= 0; i--) {
            held.addFirst(batch.get(i));
        }
        singles = singly ? batch.size() : singles;
        busy = false;
    }
}
