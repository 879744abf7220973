package org.cuminspur.internal.once;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.internal.once.ActionRecord.State;
import org.cuminspur.once.IdempotencyEvent;
import org.cuminspur.once.IdempotencyLedger.Decision;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.TxnResult;

/**
 * One attempt to write an action's record before it is sent.
 *
 * <p>Not thread-safe, but only one call to the store is open at a time, so replies may come on any thread. The action
 * is won only when the store is known to hold this attempt's record, either from the write's reply or by reading it
 * back. Writes carry the attempt, so repeating one whose reply was lost cannot win twice. An attempt that ends while a
 * write may still take effect is handed on to be fenced off.
 */
final class Claiming {
    private static final int MAX_FAULTS = 3;
    private static final int MAX_WRITES = 8;
    /** How long past its deadline an attempt counts as in progress. */
    private static final long FINISH_GRACE_MS = 5_000;

    /**
     * What an attempt is about; immutable.
     *
     * @param deadlineMillis the latest time to send the action
     */
    record Request(RecordKey key, String attempt, String fingerprint, long deadlineMillis) {
        ActionRecord pending() {
            return ActionRecord.pending(attempt, fingerprint, deadlineMillis + FINISH_GRACE_MS);
        }
    }

    private final LedgerParts parts;
    private final Request request;
    private final LongConsumer won;
    private final Consumer<Decision> refused;
    private final Runnable abandoned;
    private int faults;
    private int writes;
    private boolean writeOpen;

    /**
     * Prepares an attempt.
     *
     * @param won takes the revision of the record once it is this attempt's
     * @param refused takes the decision otherwise
     * @param abandoned runs before {@code refused} if a write of this attempt may still take effect
     */
    Claiming(LedgerParts parts, Request request, LongConsumer won, Consumer<Decision> refused, Runnable abandoned) {
        this.parts = parts;
        this.request = request;
        this.won = won;
        this.refused = refused;
        this.abandoned = abandoned;
    }

    /** Starts with a write, since a key is mostly new. */
    void start() {
        write(0, parts.floor().known());
    }

    private void write(long modRevision, Floor.Version floor) {
        if (LedgerParts.expired(request.key(), floor)) {
            // Needs no fence: the writes still open carry an older floor, and records below it get deleted.
            refused.accept(Repeats.refuse(ErrorKind.KEY_EXPIRED));
        } else if (late() || writes >= MAX_WRITES) {
            giveUp();
        } else {
            writes++;
            parts.store()
                    .commit(LedgerParts.write(request.key(), modRevision, request.pending(), floor), this::written);
        }
    }

    private void written(Either<StoreFault, TxnResult> reply) {
        if (reply.isRight() && reply.get().succeeded()) {
            won.accept(reply.get().revision());
        } else if (reply.isRight()) {
            read();
        } else {
            writeOpen |= reply.getLeft() == StoreFault.UNKNOWN;
            failed();
        }
    }

    private void read() {
        parts.store().range(request.key().storeKey(), this::seen);
    }

    private void seen(Either<StoreFault, StoreView> reply) {
        if (reply.isLeft()) {
            failed();
            return;
        }
        Optional<StoreEntry> entry = reply.get().entry(request.key().storeKey());
        if (entry.isEmpty()) {
            writeAtNewFloor(0);
            return;
        }
        Option<ActionRecord> record = RecordCodec.parse(entry.get().value());
        if (record.isEmpty()) {
            refused.accept(Repeats.refuse(ErrorKind.OUTCOME_UNKNOWN));
        } else {
            settle(record.get(), entry.get().modRevision());
        }
    }

    private void settle(ActionRecord record, long modRevision) {
        if (record.attempt().equals(request.attempt()) && record.state() == State.PENDING) {
            parts.events().accept(IdempotencyEvent.SETTLED);
            won.accept(modRevision);
        } else if (record.state() == State.RELEASED) {
            writeAtNewFloor(modRevision);
        } else {
            // Needs no fence: the record has moved past every revision that an open write compares with.
            refused.accept(
                    Repeats.decide(record, request.fingerprint(), parts.clock().millis()));
        }
    }

    private void writeAtNewFloor(long modRevision) {
        if (request.key().timeMillis().isEmpty()) {
            write(modRevision, parts.floor().known());
            return;
        }
        parts.floor().refresh(reply -> {
            if (reply.isRight()) {
                write(modRevision, reply.get());
            } else {
                failed();
            }
        });
    }

    private void failed() {
        faults++;
        if (faults >= MAX_FAULTS || late()) {
            giveUp();
        } else {
            read();
        }
    }

    private void giveUp() {
        if (writeOpen) {
            parts.events().accept(IdempotencyEvent.ABANDONED);
            abandoned.run();
        }
        if (late()) {
            refused.accept(Repeats.refuse(ErrorKind.DEADLINE_BEFORE_SEND));
        } else {
            refused.accept(new Decision.Refuse(
                    new Refusal(ErrorKind.STORE_UNAVAILABLE, "", parts.health().retryAfterMillis())));
        }
    }

    private boolean late() {
        return parts.clock().millis() >= request.deadlineMillis();
    }
}
