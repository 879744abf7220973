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
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;

/**
 * Writes the outcomes of actions to the store, batching those that arrive while a write is open.
 *
 * <p>Thread-safe; at most one call to the store is open at a time. Each outcome is written only over its own claim's
 * record, so a write may be repeated or take effect late. An outcome for which the queue has no room is counted as
 * lost: its record stays pending, and repeats are told that the outcome is unknown.
 */
final class OutcomeQueue {
    private static final int MAX_QUEUED = 1_024;
    private static final int MAX_BATCH = 32;
    private static final int MAX_BATCH_CHARS = 256 * 1_024;

    /** The write of one outcome; immutable. */
    record OutcomeWrite(RecordKey key, StoreRevision modRevision, String value) {}

    private final LedgerContext context;
    private final Deque<OutcomeWrite> queue = new ArrayDeque<>();
    private final Map<OutcomeWrite, Runnable> callbacks = new IdentityHashMap<>();
    private boolean callOpen;
    private int remainingSingleWrites;

    OutcomeQueue(LedgerContext context) {
        this.context = context;
    }

    /**
     * Queues an outcome to be written once no other write is open; {@code onRecordAttempted} runs after the first
     * attempt.
     */
    void add(OutcomeWrite write, Runnable onRecordAttempted) {
        if (!enqueue(write, onRecordAttempted)) {
            context.events().accept(IdempotencyEvent.FINISH_LOST);
            onRecordAttempted.run();
        } else if (context.health().down()) {
            runCallbacks(List.of(write));
        } else {
            writeNextBatch();
        }
    }

    /** Returns whether every queued outcome has been written. */
    synchronized boolean idle() {
        return queue.isEmpty() && !callOpen;
    }

    /** Writes the oldest outcomes, unless a write is open or the store is down. */
    void writeNextBatch() {
        List<OutcomeWrite> batch = takeBatch();
        if (!batch.isEmpty()) {
            context.store().commit(toTxn(batch), reply -> onWriteReply(batch, reply));
        }
    }

    private synchronized boolean enqueue(OutcomeWrite write, Runnable onRecordAttempted) {
        if (queue.size() >= MAX_QUEUED) {
            return false;
        }
        queue.add(write);
        callbacks.put(write, onRecordAttempted);
        return true;
    }

    private void runCallbacks(List<OutcomeWrite> writes) {
        List<Runnable> pending;
        synchronized (this) {
            pending = writes.stream()
                    .map(callbacks::remove)
                    .filter(Objects::nonNull)
                    .toList();
        }
        pending.forEach(Runnable::run);
    }

    private synchronized List<OutcomeWrite> takeBatch() {
        List<OutcomeWrite> batch = new ArrayList<>();
        if (callOpen || context.health().down()) {
            return batch;
        }
        int limit = remainingSingleWrites > 0 ? 1 : MAX_BATCH;
        int chars = 0;
        while (!queue.isEmpty() && batch.size() < limit && chars < MAX_BATCH_CHARS) {
            OutcomeWrite write = queue.remove();
            chars += write.value().length();
            batch.add(write);
        }
        remainingSingleWrites = Math.max(0, remainingSingleWrites - batch.size());
        callOpen = !batch.isEmpty();
        return batch;
    }

    private static Txn toTxn(List<OutcomeWrite> batch) {
        return new Txn(
                batch.stream()
                        .map(write -> new Txn.Compare(write.key().storeKey(), write.modRevision()))
                        .toList(),
                batch.stream()
                        .map(write -> Txn.Put.of(write.key().storeKey(), write.value()))
                        .toList(),
                List.of());
    }

    private void onWriteReply(List<OutcomeWrite> batch, Either<StoreFault, TxnResult> reply) {
        boolean succeeded = reply.isRight() && reply.get().succeeded();
        // For a single outcome, an unmet condition means that an earlier write of it took effect or the record expired.
        boolean obsolete = reply.isRight() && batch.size() == 1;
        if (succeeded || obsolete) {
            batch.forEach(write -> context.events().accept(IdempotencyEvent.FINISHED));
            endCall();
            runCallbacks(batch);
            writeNextBatch();
        } else if (reply.isRight()) {
            requeue(batch, true);
            writeNextBatch();
        } else {
            requeue(batch, false);
            runCallbacks(batch);
        }
    }

    private synchronized void endCall() {
        callOpen = false;
    }

    private synchronized void requeue(List<OutcomeWrite> batch, boolean writeSingly) {
        for (int i = batch.size() - 1; i >= 0; i--) {
            queue.addFirst(batch.get(i));
        }
        remainingSingleWrites = writeSingly ? batch.size() : remainingSingleWrites;
        callOpen = false;
    }
}
