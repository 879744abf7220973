package org.cuminspur.once;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;
import org.cuminspur.testing.once.SimulatedRouter;

/** Simple but incorrect ledgers, each of which violates a rule under some fault; stateless. */
final class NaiveLedgers {
    private static final String PREFIX = "naive/";
    private static final String CLAIMED = "taken";
    private static final long LEASE_SECONDS = 5;

    private NaiveLedgers() {}

    /** Decides on an action that has no record. */
    @FunctionalInterface
    private interface AbsentRecordHandler {
        void decide(Store store, ActionId action, Consumer<IdempotencyLedger.Decision> onDecision);
    }

    /** Runs an action that has no record, and records it once it is answered. */
    static SimulatedRouter.LedgerFactory recordAfterAnswer() {
        return ledgers((store, action, onDecision) -> run(action, onDecision));
    }

    /** Reads the record, then writes it without a condition. */
    static SimulatedRouter.LedgerFactory putWithoutCondition() {
        return ledgers((store, action, onDecision) -> {
            String key = PREFIX + action.canonicalText();
            Txn put = new Txn(List.of(), List.of(Txn.Put.of(key, CLAIMED)), List.of());
            store.commit(put, done -> decide(done, action, onDecision));
        });
    }

    /** Records by compare-and-swap, but treats a lost reply as a failed write and deletes the record. */
    static SimulatedRouter.LedgerFactory lostReplyIsFailure() {
        return ledgers((store, action, onDecision) -> {
            String key = PREFIX + action.canonicalText();
            store.commit(Txn.compareAndSwap(key, StoreRevision.NONE, CLAIMED), done -> {
                if (done.isLeft()) {
                    store.commit(new Txn(List.of(), List.of(), List.of(key)), deleted -> {});
                }
                decide(done, action, onDecision);
            });
        });
    }

    /** Records by compare-and-swap, but treats a lost reply as a successful write. */
    static SimulatedRouter.LedgerFactory lostReplyIsSuccess() {
        return ledgers((store, action, onDecision) ->
                store.commit(Txn.compareAndSwap(PREFIX + action.canonicalText(), StoreRevision.NONE, CLAIMED), done -> {
                    if (done.isLeft()) {
                        run(action, onDecision);
                    } else {
                        decide(done, action, onDecision);
                    }
                }));
    }

    /** Holds a lease while the action runs, and records it once it is answered. */
    static SimulatedRouter.LedgerFactory leaseOnly() {
        return ledgers((store, action, onDecision) -> store.grantLease(LEASE_SECONDS, lease -> {
            if (lease.isLeft()) {
                refuse(ErrorKind.STORE_UNAVAILABLE, onDecision);
                return;
            }
            String key = PREFIX + action.canonicalText();
            Txn claim = new Txn(
                    List.of(new Txn.Compare(key, StoreRevision.NONE)),
                    List.of(new Txn.Put(key, CLAIMED, lease.get())),
                    List.of());
            store.commit(claim, done -> decide(done, action, onDecision));
        }));
    }

    /** Records by compare-and-swap, but does not follow up a write whose reply was lost. */
    static SimulatedRouter.LedgerFactory lostReplyIsIgnored() {
        return ledgers((store, action, onDecision) -> store.commit(
                Txn.compareAndSwap(PREFIX + action.canonicalText(), StoreRevision.NONE, CLAIMED),
                done -> decide(done, action, onDecision)));
    }

    /** Refuses a request whose write's reply was lost, but runs it if the record is found afterwards. */
    static SimulatedRouter.LedgerFactory runAfterRefusal() {
        return ledgers((store, action, onDecision) ->
                store.commit(Txn.compareAndSwap(PREFIX + action.canonicalText(), StoreRevision.NONE, CLAIMED), done -> {
                    decide(done, action, onDecision);
                    if (done.isLeft()) {
                        store.range(
                                PREFIX + action.canonicalText(),
                                view -> view.filter(seen -> !seen.entries().isEmpty())
                                        .forEach(seen -> run(action, onDecision)));
                    }
                }));
    }

    /** Uses the ledger under test, but lets an action whose outcome is unknown run again. */
    static SimulatedRouter.LedgerFactory unknownIsNotRun() {
        return (instanceName, store, clock, random) -> {
            StoreIdempotencyLedger delegate = FaultScenario.realLedger(instanceName, store, clock, random);
            return new IdempotencyLedger() {
                @Override
                public void tryClaim(
                        ActionId action, String fingerprint, long deadlineMillis, Consumer<Decision> onDecision) {
                    delegate.tryClaim(action, fingerprint, deadlineMillis, onDecision);
                }

                @Override
                public void recordOutcome(Claim claim, Outcome outcome, Runnable onRecordAttempted) {
                    delegate.recordOutcome(
                            claim,
                            outcome instanceof Outcome.Unknown ? new Outcome.NotRun() : outcome,
                            onRecordAttempted);
                }
            };
        };
    }

    /** Expires keys and deletes records by each router's clock alone. */
    static SimulatedRouter.LedgerFactory expireByClock(long windowMillis) {
        return (instanceName, store, clock, random) -> {
            IdempotencyLedger delegate = lostReplyIsIgnored().create(instanceName, store, clock, random);
            return new IdempotencyLedger() {
                @Override
                public void tryClaim(
                        ActionId action, String fingerprint, long deadlineMillis, Consumer<Decision> onDecision) {
                    String key = PREFIX + action.canonicalText();
                    long keyMillis =
                            Long.parseLong(action.key().value().substring(0, 13).replace("-", ""), 16);
                    if (clock.millis() - keyMillis > windowMillis) {
                        store.commit(new Txn(List.of(), List.of(), List.of(key)), done -> {});
                        refuse(ErrorKind.KEY_EXPIRED, onDecision);
                    } else {
                        delegate.tryClaim(action, fingerprint, deadlineMillis, onDecision);
                    }
                }

                @Override
                public void recordOutcome(Claim claim, Outcome outcome, Runnable onRecordAttempted) {
                    delegate.recordOutcome(claim, outcome, onRecordAttempted);
                }
            };
        };
    }

    private static SimulatedRouter.LedgerFactory ledgers(AbsentRecordHandler onAbsent) {
        return (instanceName, store, clock, random) -> new IdempotencyLedger() {
            @Override
            public void tryClaim(
                    ActionId action, String fingerprint, long deadlineMillis, Consumer<Decision> onDecision) {
                store.range(PREFIX + action.canonicalText(), view -> {
                    if (view.isLeft()) {
                        refuse(ErrorKind.STORE_UNAVAILABLE, onDecision);
                    } else if (view.get().entries().isEmpty()) {
                        onAbsent.decide(store, action, onDecision);
                    } else {
                        refuse(ErrorKind.KEY_IN_PROGRESS, onDecision);
                    }
                });
            }

            @Override
            public void recordOutcome(Claim claim, Outcome outcome, Runnable onRecordAttempted) {
                String key = PREFIX + claim.action().canonicalText();
                store.commit(
                        new Txn(List.of(), List.of(Txn.Put.of(key, "done")), List.of()),
                        done -> onRecordAttempted.run());
            }
        };
    }

    private static void decide(
            Either<StoreFault, TxnResult> done, ActionId action, Consumer<IdempotencyLedger.Decision> onDecision) {
        if (done.isLeft()) {
            refuse(ErrorKind.STORE_UNAVAILABLE, onDecision);
        } else if (done.get().succeeded()) {
            run(action, onDecision);
        } else {
            refuse(ErrorKind.KEY_IN_PROGRESS, onDecision);
        }
    }

    private static void run(ActionId action, Consumer<IdempotencyLedger.Decision> onDecision) {
        onDecision.accept(new IdempotencyLedger.Decision.Run(new IdempotencyLedger.Claim(action, "only")));
    }

    private static void refuse(ErrorKind kind, Consumer<IdempotencyLedger.Decision> onDecision) {
        onDecision.accept(new IdempotencyLedger.Decision.Refuse(Refusal.of(kind)));
    }
}
