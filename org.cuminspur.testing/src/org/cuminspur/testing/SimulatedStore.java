package org.cuminspur.testing;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cuminspur.store.PolledStore;
import org.cuminspur.store.StoreChanges;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreLease;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;
import org.cuminspur.store.WatchedStore;

/**
 * An in-memory store that runs under virtual time and injects the configured faults.
 *
 * <p>Not thread-safe. A call takes effect after the request's delay and is answered after the reply's; if the request
 * or reply is lost, it fails with {@link StoreFault#UNKNOWN} after {@link #REPLY_TIMEOUT_MS}.
 */
public final class SimulatedStore implements WatchedStore, PolledStore {
    /** Time after which a call without a reply fails. */
    public static final long REPLY_TIMEOUT_MS = 1_000;

    private final VirtualTime time;
    private final RandomGenerator random;
    private final KeyValueTable table;
    private final StoreFaults faults;
    private long readCount;
    private long writeCount;
    private long watchCount;

    public SimulatedStore(VirtualTime time, RandomGenerator random) {
        this(time, random, new KeyValueTable(), new StoreFaults());
    }

    /** Creates a store on a shared table, so that each router can have its own faults. */
    public SimulatedStore(VirtualTime time, RandomGenerator random, KeyValueTable table, StoreFaults faults) {
        this.time = time;
        this.random = random;
        this.table = table;
        this.faults = faults;
    }

    public KeyValueTable table() {
        return table;
    }

    public StoreFaults faults() {
        return faults;
    }

    /** Returns the number of reads requested, lease renewals included. */
    public long readCount() {
        return readCount;
    }

    /** Returns the number of writes requested, lease grants included. */
    public long writeCount() {
        return writeCount;
    }

    public long watchCount() {
        return watchCount;
    }

    @Override
    public void range(String prefix, Consumer<Either<StoreFault, StoreView>> reply) {
        readCount++;
        call(() -> table.range(prefix, rangeEnd(prefix)), reply);
    }

    @Override
    public void changes(String prefix, StoreRevision afterRevision, Consumer<Either<StoreFault, StoreChanges>> reply) {
        readCount++;
        call(() -> changesAfter(prefix, afterRevision), reply);
    }

    private StoreChanges changesAfter(String prefix, StoreRevision afterRevision) {
        StoreRevision revision = table.revision();
        if (faults.historyDropped()) {
            return StoreChanges.dropped(revision);
        }
        if (revision.era() != afterRevision.era() || faults.silentWatches()) {
            return new StoreChanges(revision, List.of(), true);
        }
        List<StoreEntry> entries = table.changesAfter(afterRevision).stream()
                .filter(entry -> entry.key().startsWith(prefix))
                .toList();
        return new StoreChanges(revision, entries, true);
    }

    @Override
    public void commit(Txn txn, Consumer<Either<StoreFault, TxnResult>> reply) {
        writeCount++;
        call(() -> isOfPresentEra(txn) ? table.commit(txn) : new TxnResult(false, StoreRevision.NONE), reply);
    }

    @Override
    public Watch watch(String prefix, StoreRevision afterRevision, Consumer<StoreView> changes, Runnable ended) {
        watchCount++;
        RunningWatch watch = new RunningWatch(prefix, changes, ended);
        time.schedule(randomDelay(), () -> watch.start(afterRevision));
        return watch;
    }

    @Override
    public void grantLease(long ttlSeconds, Consumer<Either<StoreFault, StoreLease>> reply) {
        writeCount++;
        call(() -> table.grantLease(ttlSeconds, time.nowMillis()), reply);
    }

    @Override
    public void keepAlive(StoreLease lease, Consumer<Either<StoreFault, Long>> reply) {
        readCount++;
        call(() -> isPresentEra(lease) ? table.keepAlive(lease.id(), time.nowMillis()) : 0L, reply);
    }

    private <T> void call(Supplier<T> effect, Consumer<Either<StoreFault, T>> reply) {
        if (faults.refusing()) {
            time.schedule(randomDelay(), () -> reply.accept(Either.left(StoreFault.NOT_DONE)));
            return;
        }
        if (faults.outage() || random.nextDouble() < faults.requestLossProbability()) {
            time.schedule(REPLY_TIMEOUT_MS, () -> reply.accept(Either.left(StoreFault.UNKNOWN)));
            return;
        }
        time.schedule(randomDelay(), () -> {
            table.expireLeases(time.nowMillis());
            T result = effect.get();
            if (random.nextDouble() < faults.replyLossProbability()) {
                time.schedule(REPLY_TIMEOUT_MS, () -> reply.accept(Either.left(StoreFault.UNKNOWN)));
            } else {
                time.schedule(randomDelay(), () -> reply.accept(Either.right(result)));
            }
        });
    }

    /** As an adapter that knows the present era does. */
    private boolean isOfPresentEra(Txn txn) {
        return txn.compares().stream()
                        .map(Txn.Compare::modRevision)
                        .allMatch(expected -> expected.equals(StoreRevision.NONE)
                                || expected.era() == table.revision().era())
                && txn.puts().stream().map(Txn.Put::lease).allMatch(this::isPresentEra);
    }

    private boolean isPresentEra(StoreLease lease) {
        return lease.equals(StoreLease.NONE) || lease.era() == table.revision().era();
    }

    private long randomDelay() {
        return random.nextLong(faults.minDelayMillis(), faults.maxDelayMillis() + 1);
    }

    private static String rangeEnd(String prefix) {
        if (prefix.isEmpty()) {
            return String.valueOf(Character.MAX_VALUE);
        }
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }

    /** One watch; it ends at the first change that occurs during an outage. */
    private final class RunningWatch implements Watch {
        private final String prefix;
        private final Consumer<StoreView> changes;
        private final Runnable ended;
        private final BiConsumer<StoreRevision, List<StoreEntry>> listener = this::onChanges;
        private boolean closed;

        RunningWatch(String prefix, Consumer<StoreView> changes, Runnable ended) {
            this.prefix = prefix;
            this.changes = changes;
            this.ended = ended;
        }

        void start(StoreRevision afterRevision) {
            if (faults.outage() || afterRevision.number() > table.revision().number()) {
                end();
                return;
            }
            table.addRestoreListener(this::end);
            List<StoreEntry> missed = table.addListener(afterRevision, listener);
            if (!missed.isEmpty()) {
                onChanges(missed.get(missed.size() - 1).modRevision(), missed);
            }
        }

        @Override
        public void close() {
            end();
        }

        void end() {
            if (!closed) {
                closed = true;
                table.removeListener(listener);
                time.schedule(randomDelay(), ended);
            }
        }

        private void onChanges(StoreRevision revision, List<StoreEntry> entries) {
            List<StoreEntry> matching = entries.stream()
                    .filter(entry -> entry.key().startsWith(prefix))
                    .toList();
            if (faults.outage()) {
                time.schedule(0, this::end);
            } else if (!matching.isEmpty() && !closed && !faults.silentWatches()) {
                time.schedule(randomDelay(), () -> changes.accept(new StoreView(revision, matching)));
            }
        }
    }
}
