package org.cuminspur.once;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;
import org.cuminspur.testing.once.OnceRouter;

/** Obvious ways to keep a ledger, each of which breaks a rule under some fault; stateless. */
final class NaiveLedgers {
    private static final String PREFIX = "naive/";
    private static final String TAKEN = "taken";
    private static final long LEASE_SECONDS = 5;

    private NaiveLedgers() {}

    /** Decides on an action that has no record. */
    @FunctionalInterface
    private interface OnAbsent {
        void decide(Store store, ActionId action, Consumer<IdempotencyLedger.Decision> reply);
    }

    /** Runs what has no record, and records it once it is answered. */
    static OnceRouter.Ledgers recordAfterAnswer() {
        return ledgers((store, action, reply) -> run(action, reply));
    }

    /** Reads, then records with no condition. */
    static OnceRouter.Ledgers putWithoutCondition() {
        return ledgers((store, action, reply) -> {
            String key = PREFIX + action.canonicalText();
            Txn put = new Txn(List.of(), List.of(Txn.Put.of(key, TAKEN)), List.of());
            store.commit(put, done -> settle(done, action, reply));
        });
    }

    /** Records by compare-and-swap, but takes a lost reply for a failed write and lets the next attempt overwrite. */
    static OnceRouter.Ledgers lostReplyIsFailure() {
        return ledgers((store, action, reply) -> {
            String key = PREFIX + action.canonicalText();
            store.commit(Txn.compareAndSwap(key, 0, TAKEN), done -> {
                if (done.isLeft()) {
                    store.commit(new Txn(List.of(), List.of(), List.of(key)), gone -> {});
                }
                settle(done, action, reply);
            });
        });
    }

    /** Records by compare-and-swap, and takes a lost reply for a write that took effect. */
    static OnceRouter.Ledgers lostReplyIsSuccess() {
        return ledgers((store, action, reply) ->
                store.commit(Txn.compareAndSwap(PREFIX + action.canonicalText(), 0, TAKEN), done -> {
                    if (done.isLeft()) {
                        run(action, reply);
                    } else {
                        settle(done, action, reply);
                    }
                }));
    }

    /** Holds a lease while the action runs, and records it once it is answered. */
    static OnceRouter.Ledgers leaseGuards() {
        return ledgers((store, action, reply) -> store.grantLease(LEASE_SECONDS, lease -> {
            if (lease.isLeft()) {
                refuse(ErrorKind.STORE_UNAVAILABLE, reply);
                return;
            }
            String key = PREFIX + action.canonicalText();
            Txn hold =
                    new Txn(List.of(new Txn.Compare(key, 0)), List.of(new Txn.Put(key, TAKEN, lease.get())), List.of());
            store.commit(hold, done -> settle(done, action, reply));
        }));
    }

    /** Records by compare-and-swap, and leaves a write whose reply was lost as it is. */
    static OnceRouter.Ledgers lostReplyIsLeft() {
        return ledgers((store, action, reply) -> store.commit(
                Txn.compareAndSwap(PREFIX + action.canonicalText(), 0, TAKEN), done -> settle(done, action, reply)));
    }

    /** Refuses a request whose write's reply was lost, and runs it when the record turns out to be there. */
    static OnceRouter.Ledgers runAfterRefusal() {
        return ledgers((store, action, reply) ->
                store.commit(Txn.compareAndSwap(PREFIX + action.canonicalText(), 0, TAKEN), done -> {
                    settle(done, action, reply);
                    if (done.isLeft()) {
                        store.range(
                                PREFIX + action.canonicalText(),
                                view -> view.filter(seen -> !seen.entries().isEmpty())
                                        .forEach(seen -> run(action, reply)));
                    }
                }));
    }

    /** Keeps the real records, but lets an action whose outcome is unknown run again. */
    static OnceRouter.Ledgers unknownIsNotSent() {
        return (owner, store, clock, random) -> {
            StoreIdempotencyLedger real = OnceSchedule.real(owner, store, clock, random);
            return new IdempotencyLedger() {
                @Override
                public void tryClaim(ActionId action, String print, long deadlineMillis, Consumer<Decision> reply) {
                    real.tryClaim(action, print, deadlineMillis, reply);
                }

                @Override
                public void recordOutcome(Claim claim, Outcome outcome, Runnable tried) {
                    real.recordOutcome(
                            claim, outcome instanceof Outcome.Unknown ? new Outcome.NotRun() : outcome, tried);
                }
            };
        };
    }

    /** Deletes records, and judges the age of keys, by each router's clock alone. */
    static OnceRouter.Ledgers expireByClock(long windowMillis) {
        return (owner, store, clock, random) -> {
            IdempotencyLedger kept = lostReplyIsLeft().create(owner, store, clock, random);
            return new IdempotencyLedger() {
                @Override
                public void tryClaim(ActionId action, String print, long deadlineMillis, Consumer<Decision> reply) {
                    String key = PREFIX + action.canonicalText();
                    long made =
                            Long.parseLong(action.key().value().substring(0, 13).replace("-", ""), 16);
                    if (clock.millis() - made > windowMillis) {
                        store.commit(new Txn(List.of(), List.of(), List.of(key)), done -> {});
                        refuse(ErrorKind.KEY_EXPIRED, reply);
                    } else {
                        kept.tryClaim(action, print, deadlineMillis, reply);
                    }
                }

                @Override
                public void recordOutcome(Claim claim, Outcome outcome, Runnable tried) {
                    kept.recordOutcome(claim, outcome, tried);
                }
            };
        };
    }

    private static OnceRouter.Ledgers ledgers(OnAbsent absent) {
        return (owner, store, clock, random) -> new IdempotencyLedger() {
            @Override
            public void tryClaim(ActionId action, String print, long deadlineMillis, Consumer<Decision> reply) {
                store.range(PREFIX + action.canonicalText(), view -> {
                    if (view.isLeft()) {
                        refuse(ErrorKind.STORE_UNAVAILABLE, reply);
                    } else if (view.get().entries().isEmpty()) {
                        absent.decide(store, action, reply);
                    } else {
                        refuse(ErrorKind.KEY_IN_PROGRESS, reply);
                    }
                });
            }

            @Override
            public void recordOutcome(Claim claim, Outcome outcome, Runnable tried) {
                String key = PREFIX + claim.action().canonicalText();
                store.commit(new Txn(List.of(), List.of(Txn.Put.of(key, "done")), List.of()), done -> tried.run());
            }
        };
    }

    private static void settle(
            Either<StoreFault, TxnResult> done, ActionId action, Consumer<IdempotencyLedger.Decision> reply) {
        if (done.isLeft()) {
            refuse(ErrorKind.STORE_UNAVAILABLE, reply);
        } else if (done.get().succeeded()) {
            run(action, reply);
        } else {
            refuse(ErrorKind.KEY_IN_PROGRESS, reply);
        }
    }

    private static void run(ActionId action, Consumer<IdempotencyLedger.Decision> reply) {
        reply.accept(new IdempotencyLedger.Decision.Run(new IdempotencyLedger.Claim(action, "only")));
    }

    private static void refuse(ErrorKind kind, Consumer<IdempotencyLedger.Decision> reply) {
        reply.accept(new IdempotencyLedger.Decision.Refuse(Refusal.of(kind)));
    }
}
