package org.cuminspur.internal.once;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Optional;
import java.util.function.Consumer;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.internal.once.ActionRecord.State;
import org.cuminspur.once.IdempotencyEvent;
import org.cuminspur.once.IdempotencyLedger.Decision;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.TxnResult;

/**
 * One attempt to claim an action by writing its record before it is sent.
 *
 * <p>Not thread-safe, but only one call to the store is open at a time, so replies may come on any thread. The action
 * is claimed only once the store is known to hold this attempt's record, either from the write's reply or by reading it
 * back. Writes carry the attempt id, so repeating one whose reply was lost cannot claim the action twice. An attempt
 * that ends while a write may still take effect is reported to be fenced off.
 */
final class ClaimAttempt {
    private static final int MAX_FAULTS = 3;
    private static final int MAX_WRITES = 8;
    /** How long after its deadline an attempt without a recorded outcome counts as in progress. */
    private static final long OUTCOME_GRACE_MS = 5_000;

    /**
     * Parameters of an attempt; immutable.
     *
     * @param deadlineMillis latest time at which the action may be sent
     */
    record Request(RecordKey key, String attemptId, String fingerprint, long deadlineMillis) {
        ActionRecord pendingRecord() {
            return ActionRecord.pending(attemptId, fingerprint, deadlineMillis + OUTCOME_GRACE_MS);
        }
    }

    private final LedgerContext context;
    private final Request request;
    private final Consumer<StoreRevision> onClaimed;
    private final Consumer<Decision> onRefused;
    private final Runnable onAbandoned;
    private int faults;
    private int writes;
    private boolean writeMayStillApply;

    /**
     * Creates an attempt.
     *
     * @param onClaimed receives the revision of the record once this attempt has claimed the action
     * @param onRefused receives the decision otherwise
     * @param onAbandoned runs before {@code onRefused} if a write of this attempt may still take effect
     */
    ClaimAttempt(
            LedgerContext context,
            Request request,
            Consumer<StoreRevision> onClaimed,
            Consumer<Decision> onRefused,
            Runnable onAbandoned) {
        this.context = context;
        this.request = request;
        this.onClaimed = onClaimed;
        this.onRefused = onRefused;
        this.onAbandoned = onAbandoned;
    }

    /** Starts with a write rather than a read, since most keys are new. */
    void start() {
        write(StoreRevision.NONE, context.floor().latest());
    }

    private void write(StoreRevision modRevision, ExpiryFloor.Version floor) {
        if (LedgerContext.isExpired(request.key(), floor)) {
            // Needs no fence: writes that are still open carry an older floor, and records below the floor are deleted.
            onRefused.accept(RepeatDecisions.refuse(ErrorKind.KEY_EXPIRED));
        } else if (deadlinePassed() || writes >= MAX_WRITES) {
            giveUp();
        } else {
            writes++;
            context.store()
                    .commit(
                            LedgerContext.recordWrite(request.key(), modRevision, request.pendingRecord(), floor),
                            this::onWriteReply);
        }
    }

    private void onWriteReply(Either<StoreFault, TxnResult> reply) {
        if (reply.isRight() && reply.get().succeeded()) {
            onClaimed.accept(reply.get().revision());
        } else if (reply.isRight()) {
            readRecord();
        } else {
            writeMayStillApply |= reply.getLeft() == StoreFault.UNKNOWN;
            onFault();
        }
    }

    private void readRecord() {
        context.store().range(request.key().storeKey(), this::onRecordRead);
    }

    private void onRecordRead(Either<StoreFault, StoreView> reply) {
        if (reply.isLeft()) {
            onFault();
            return;
        }
        Optional<StoreEntry> entry = reply.get().entry(request.key().storeKey());
        if (entry.isEmpty()) {
            refreshFloorAndWrite(StoreRevision.NONE);
            return;
        }
        Option<ActionRecord> record = RecordCodec.parse(entry.get().value());
        if (record.isEmpty()) {
            onRefused.accept(RepeatDecisions.refuse(ErrorKind.OUTCOME_UNKNOWN));
        } else {
            resolve(record.get(), entry.get().modRevision());
        }
    }

    private void resolve(ActionRecord record, StoreRevision modRevision) {
        if (record.attemptId().equals(request.attemptId()) && record.state() == State.PENDING) {
            context.events().accept(IdempotencyEvent.SETTLED);
            onClaimed.accept(modRevision);
        } else if (record.state() == State.RELEASED) {
            refreshFloorAndWrite(modRevision);
        } else {
            // Needs no fence: the record is past every revision that an open write compares with.
            onRefused.accept(RepeatDecisions.decide(
                    record, request.fingerprint(), context.clock().millis()));
        }
    }

    private void refreshFloorAndWrite(StoreRevision modRevision) {
        if (request.key().keyTimeMillis().isEmpty()) {
            write(modRevision, context.floor().latest());
            return;
        }
        context.floor().refresh(reply -> {
            if (reply.isRight()) {
                write(modRevision, reply.get());
            } else {
                onFault();
            }
        });
    }

    private void onFault() {
        faults++;
        if (faults >= MAX_FAULTS || deadlinePassed()) {
            giveUp();
        } else {
            readRecord();
        }
    }

    private void giveUp() {
        if (writeMayStillApply) {
            context.events().accept(IdempotencyEvent.ABANDONED);
            onAbandoned.run();
        }
        if (deadlinePassed()) {
            onRefused.accept(RepeatDecisions.refuse(ErrorKind.DEADLINE_BEFORE_SEND));
        } else {
            onRefused.accept(new Decision.Refuse(new Refusal(
                    ErrorKind.STORE_UNAVAILABLE, "", context.health().retryAfterMillis())));
        }
    }

    private boolean deadlinePassed() {
        return context.clock().millis() >= request.deadlineMillis();
    }
}
