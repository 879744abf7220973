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
public final class MemoryStore implements Store {
    /** How long a caller waits for a reply that was lost. */
    public static final long TIMEOUT_MS = 1_000;

    private final VirtualTime time;
    private final RandomGenerator random;
    private final KeyValueTable table;
    private final StoreFaults faults;
    private long reads;
    private long writes;
    private long watches;

    public MemoryStore(VirtualTime time, RandomGenerator random) {
        this(time, random, new KeyValueTable(), new StoreFaults());
    }

    /** Shares a table with other stores, so that each router can have faults of its own. */
    public MemoryStore(VirtualTime time, RandomGenerator random, KeyValueTable table, StoreFaults faults) {
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
    public long reads() {
        return reads;
    }

    /** Returns how many writes were asked for. */
    public long writes() {
        return writes;
    }

    /** Returns how many watches were started. */
    public long watches() {
        return watches;
    }

    @Override
    public void range(String prefix, Consumer<Either<StoreFault, StoreView>> reply) {
        reads++;
        call(() -> table.range(prefix, end(prefix)), reply);
    }

    @Override
    public void commit(Txn txn, Consumer<Either<StoreFault, TxnResult>> reply) {
        writes++;
        call(() -> table.commit(txn), reply);
    }

    @Override
    public Watch watch(String prefix, long afterRevision, Consumer<StoreView> changes, Runnable ended) {
        watches++;
        RunningWatch watch = new RunningWatch(prefix, changes, ended);
        time.after(delay(), () -> watch.start(afterRevision));
        return watch;
    }

    @Override
    public void grantLease(long ttlSeconds, Consumer<Either<StoreFault, Long>> reply) {
        writes++;
        call(() -> table.grant(ttlSeconds, time.now()), reply);
    }

    @Override
    public void keepAlive(long lease, Consumer<Either<StoreFault, Long>> reply) {
        reads++;
        call(() -> table.keepAlive(lease, time.now()), reply);
    }

    private <T> void call(Supplier<T> effect, Consumer<Either<StoreFault, T>> reply) {
        if (faults.refusing()) {
            time.after(delay(), () -> reply.accept(Either.left(StoreFault.NOT_DONE)));
            return;
        }
        if (faults.outage() || random.nextDouble() < faults.lostRequestShare()) {
            time.after(TIMEOUT_MS, () -> reply.accept(Either.left(StoreFault.UNKNOWN)));
            return;
        }
        time.after(delay(), () -> {
            table.expire(time.now());
            T result = effect.get();
            if (random.nextDouble() < faults.lostReplyShare()) {
                time.after(TIMEOUT_MS, () -> reply.accept(Either.left(StoreFault.UNKNOWN)));
            } else {
                time.after(delay(), () -> reply.accept(Either.right(result)));
            }
        });
    }

    private long delay() {
        return random.nextLong(faults.minDelayMillis(), faults.maxDelayMillis() + 1);
    }

    private static String end(String prefix) {
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
        private final BiConsumer<Long, List<StoreEntry>> listener = this::changed;
        private boolean done;
        private final List<StoreEntry> gathered = new ArrayList<>();
        private long gatherMillis;

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
            List<StoreEntry> missed = table.listen(afterRevision, listener);
            if (!missed.isEmpty()) {
                changed(missed.get(missed.size() - 1).modRevision(), missed);
            }
        }

        @Override
        public void close() {
            end();
        }

        @Override
        public void setBatchDelay(long millis) {
            gatherMillis = millis;
        }

        @Override
        public void flush() {
            time.after(delay(), this::tell);
        }

        void end() {
            if (!done) {
                done = true;
                table.unlisten(listener);
                time.after(delay(), ended);
            }
        }

        private void changed(long revision, List<StoreEntry> entries) {
            List<StoreEntry> seen = entries.stream()
                    .filter(entry -> entry.key().startsWith(prefix))
                    .toList();
            if (faults.outage()) {
                time.after(0, this::end);
            } else if (!seen.isEmpty() && !done && !faults.silentWatches()) {
                gathered.addAll(seen);
                time.after(gatherMillis + delay(), this::tell);
            }
        }

        private void tell() {
            if (!gathered.isEmpty()) {
                List<StoreEntry> told = List.copyOf(gathered);
                gathered.clear();
                changes.accept(new StoreView(told.get(told.size() - 1).modRevision(), told));
            }
        }
    }
}
