package org.cuminspur.testing;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;

/**
 * A store in memory that runs on virtual time and shows faults when told to.
 *
 * <p>Used by one thread. A call takes effect half way between its start and its reply; a call whose request or reply
 * was lost is told as {@link StoreFault#UNKNOWN} after the timeout.
 */
public final class SimulatedStore implements Store {
    /** How long a caller waits for a reply that was lost. */
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

    /** Shares a table with other stores, so that each router can have faults of its own. */
    public SimulatedStore(VirtualTime time, RandomGenerator random, KeyValueTable table, StoreFaults faults) {
        this.time = time;
        this.random = random;
        this.table = table;
        this.faults = faults;
    }

    /** Returns the keys and values. */
    public KeyValueTable table() {
        return table;
    }

    /** Returns the faults that it shows. */
    public StoreFaults faults() {
        return faults;
    }

    /** Returns how many reads were asked for, lease renewals among them. */
    public long readCount() {
        return readCount;
    }

    /** Returns how many writes were asked for. */
    public long writeCount() {
        return writeCount;
    }

    /** Returns how many watches were started. */
    public long watchCount() {
        return watchCount;
    }

    @Override
    public void range(String prefix, Consumer<Either<StoreFault, StoreView>> reply) {
        readCount++;
        call(() -> table.range(prefix, rangeEnd(prefix)), reply);
    }

    @Override
    public void commit(Txn txn, Consumer<Either<StoreFault, TxnResult>> reply) {
        writeCount++;
        call(() -> table.commit(txn), reply);
    }

    @Override
    public Watch watch(String prefix, long afterRevision, Consumer<StoreView> changes, Runnable ended) {
        watchCount++;
        RunningWatch watch = new RunningWatch(prefix, changes, ended);
        time.schedule(randomDelay(), () -> watch.start(afterRevision));
        return watch;
    }

    @Override
    public void grantLease(long ttlSeconds, Consumer<Either<StoreFault, Long>> reply) {
        writeCount++;
        call(() -> table.grantLease(ttlSeconds, time.nowMillis()), reply);
    }

    @Override
    public void keepAlive(long lease, Consumer<Either<StoreFault, Long>> reply) {
        readCount++;
        call(() -> table.keepAlive(lease, time.nowMillis()), reply);
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

    /** One watch; it breaks at the first change that meets an outage. */
    private final class RunningWatch implements Watch {
        private final String prefix;
        private final Consumer<StoreView> changes;
        private final Runnable ended;
        private final BiConsumer<Long, List<StoreEntry>> listener = this::onChanges;
        private boolean closed;
        private final List<StoreEntry> pendingChanges = new ArrayList<>();
        private long batchDelayMillis;

        RunningWatch(String prefix, Consumer<StoreView> changes, Runnable ended) {
            this.prefix = prefix;
            this.changes = changes;
            this.ended = ended;
        }

        void start(long afterRevision) {
            if (faults.outage()) {
                end();
                return;
            }
            List<StoreEntry> missed = table.addListener(afterRevision, listener);
            if (!missed.isEmpty()) {
                onChanges(missed.get(missed.size() - 1).modRevision(), missed);
            }
        }

        @Override
        public void close() {
            end();
        }

        @Override
        public void setBatchDelay(long millis) {
            batchDelayMillis = millis;
        }

        @Override
        public void flush() {
            time.schedule(randomDelay(), this::deliver);
        }

        void end() {
            if (!closed) {
                closed = true;
                table.removeListener(listener);
                time.schedule(randomDelay(), ended);
            }
        }

        private void onChanges(long revision, List<StoreEntry> entries) {
            List<StoreEntry> matching = entries.stream()
                    .filter(entry -> entry.key().startsWith(prefix))
                    .toList();
            if (faults.outage()) {
                time.schedule(0, this::end);
            } else if (!matching.isEmpty() && !closed && !faults.silentWatches()) {
                pendingChanges.addAll(matching);
                time.schedule(batchDelayMillis + randomDelay(), this::deliver);
            }
        }

        private void deliver() {
            if (!pendingChanges.isEmpty()) {
                List<StoreEntry> delivered = List.copyOf(pendingChanges);
                pendingChanges.clear();
                changes.accept(new StoreView(delivered.get(delivered.size() - 1).modRevision(), delivered));
            }
        }
    }
}
