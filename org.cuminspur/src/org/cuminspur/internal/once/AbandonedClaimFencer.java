package org.cuminspur.internal.once;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.cuminspur.internal.once.ActionRecord.State;
import org.cuminspur.once.IdempotencyEvent;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.TxnResult;

/**
 * Ensures that abandoned claim attempts leave no pending record.
 *
 * <p>Thread-safe; at most one call to the store is open at a time. An absent record does not prove that no write will
 * still take effect, so the record is written as released: the revision check of a late write then fails. If this
 * router ends first, a record may stay pending, and repeats are told that the outcome is unknown.
 */
final class AbandonedClaimFencer {
    private static final int MAX_QUEUED = 1_024;

    private record AbandonedClaim(RecordKey key, String attemptId, String fingerprint) {}

    private final LedgerContext context;
    private final Deque<AbandonedClaim> queue = new ArrayDeque<>();
    private boolean callOpen;

    AbandonedClaimFencer(LedgerContext context) {
        this.context = context;
    }

    /** Queues an abandoned attempt; it is dropped if the queue is full. */
    synchronized void add(ClaimAttempt.Request request) {
        if (queue.size() < MAX_QUEUED) {
            queue.add(new AbandonedClaim(request.key(), request.attemptId(), request.fingerprint()));
        }
    }

    /** Returns whether no attempt is left to fence off. */
    synchronized boolean idle() {
        return queue.isEmpty();
    }

    /** Processes the oldest attempt, unless a call is open or the store is down. */
    void fenceNext() {
        AbandonedClaim next = startNext();
        if (next != null) {
            context.store().range(next.key().storeKey(), reply -> onRecordRead(next, reply));
        }
    }

    private synchronized AbandonedClaim startNext() {
        if (callOpen || queue.isEmpty() || context.health().down()) {
            return null;
        }
        callOpen = true;
        return queue.peek();
    }

    private void onRecordRead(AbandonedClaim claim, Either<StoreFault, StoreView> reply) {
        if (reply.isLeft()) {
            retryLater();
            return;
        }
        Optional<StoreEntry> entry = reply.get().entry(claim.key().storeKey());
        StoreRevision modRevision = entry.map(StoreEntry::modRevision).orElse(StoreRevision.NONE);
        if (entry.isEmpty() || needsFence(claim, entry.get())) {
            fence(claim, modRevision);
        } else {
            completeCurrent(IdempotencyEvent.FENCED);
        }
    }

    private static boolean needsFence(AbandonedClaim claim, StoreEntry entry) {
        return RecordCodec.parse(entry.value())
                .exists(record -> record.attemptId().equals(claim.attemptId())
                        ? record.state() == State.PENDING
                        : record.state() == State.RELEASED);
    }

    private void fence(AbandonedClaim claim, StoreRevision modRevision) {
        context.floor().refresh(floor -> {
            if (floor.isLeft()) {
                retryLater();
            } else if (LedgerContext.isExpired(claim.key(), floor.get())) {
                completeCurrent(IdempotencyEvent.FENCED);
            } else {
                ActionRecord released = ActionRecord.released(claim.attemptId(), claim.fingerprint());
                context.store()
                        .commit(
                                LedgerContext.recordWrite(claim.key(), modRevision, released, floor.get()),
                                this::onFenceReply);
            }
        });
    }

    private void onFenceReply(Either<StoreFault, TxnResult> reply) {
        if (reply.isRight() && reply.get().succeeded()) {
            completeCurrent(IdempotencyEvent.FENCED);
        } else {
            retryLater();
        }
    }

    private void completeCurrent(IdempotencyEvent event) {
        context.events().accept(event);
        synchronized (this) {
            queue.remove();
            callOpen = false;
        }
        fenceNext();
    }

    private synchronized void retryLater() {
        callOpen = false;
    }
}
