package org.cuminspur.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreLease;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;

/**
 * An in-memory key-value table with revisions, compare-and-swap transactions and leases.
 *
 * <p>A table with eras can be put back to a copy of an earlier state. Conditions compare the numbers of revisions only,
 * which are given out again after that. Thread-safe; every call is atomic. Listeners run under the table's lock, so they see changes in order.
 */
public final class KeyValueTable {
    private record Row(StoreEntry entry, long lease) {}

    private record Lease(long ttlMillis, long endMillis) {}

    /** The state of a table at one moment; immutable. */
    public static final class Copy {
        private final Map<String, Row> rows;
        private final long revision;
        private final long nextLease;

        private Copy(Map<String, Row> rows, long revision, long nextLease) {
            this.rows = Map.copyOf(rows);
            this.revision = revision;
            this.nextLease = nextLease;
        }
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final TreeMap<Long, Lease> leases = new TreeMap<>();
    private final List<StoreEntry> history = new ArrayList<>();
    private final List<BiConsumer<StoreRevision, List<StoreEntry>>> listeners = new ArrayList<>();
    private final List<Runnable> restoreListeners = new ArrayList<>();
    private StoreRevision revision;
    private long nextLease = 1;

    /** Creates an empty table without eras. */
    public KeyValueTable() {
        this(0);
    }

    /** Creates an empty table in an era. */
    public KeyValueTable(long era) {
        revision = new StoreRevision(era, 1);
    }

    /** Returns a copy of the present state. */
    public synchronized Copy copy() {
        return new Copy(rows, revision.number(), nextLease);
    }

    /** Returns to the state of a copy, without its leases and their keys, and begins a new era. */
    public synchronized void restore(Copy copy) {
        long era = revision.era() + 1;
        revision = new StoreRevision(era, copy.revision);
        nextLease = copy.nextLease;
        leases.clear();
        rows.clear();
        copy.rows.values().stream()
                .filter(row -> row.lease() == 0)
                .forEach(row -> rows.put(row.entry().key(), new Row(inEra(era, row.entry()), 0)));
        history.removeIf(entry -> entry.modRevision().number() > copy.revision);
        history.replaceAll(entry -> inEra(era, entry));
        listeners.clear();
        List<Runnable> told = List.copyOf(restoreListeners);
        restoreListeners.clear();
        told.forEach(Runnable::run);
    }

    /** Runs an action once, when the table next returns to a copy; this also drops all listeners for changes. */
    public synchronized void addRestoreListener(Runnable action) {
        restoreListeners.add(action);
    }

    /** Returns the revision of the last change. */
    public synchronized StoreRevision revision() {
        return revision;
    }

    private static StoreEntry inEra(long era, StoreEntry entry) {
        return new StoreEntry(
                entry.key(),
                entry.value(),
                new StoreRevision(era, entry.modRevision().number()));
    }

    /** Returns the entries from {@code from} up to but excluding {@code end}; an empty end selects the one key. */
    public synchronized StoreView range(String from, String end) {
        List<StoreEntry> entries = rows.subMap(from, end.isEmpty() ? from + "\0" : end).values().stream()
                .map(Row::entry)
                .toList();
        return new StoreView(revision, entries);
    }

    /** Applies a transaction if all its comparisons hold and its leases exist. */
    public synchronized TxnResult commit(Txn txn) {
        boolean matches = txn.compares().stream()
                .allMatch(compare ->
                        modRevision(compare.key()) == compare.modRevision().number());
        matches &= txn.puts().stream()
                .mapToLong(put -> put.lease().id())
                .allMatch(lease -> lease == 0 || leases.containsKey(lease));
        if (matches) {
            write(txn.puts(), txn.deletes());
        }
        return new TxnResult(matches, revision);
    }

    /** Returns the changes after a revision and passes later ones to the listener. */
    public synchronized List<StoreEntry> addListener(
            StoreRevision afterRevision, BiConsumer<StoreRevision, List<StoreEntry>> listener) {
        listeners.add(listener);
        return changesAfter(afterRevision);
    }

    /** Returns the changes after a revision. */
    public synchronized List<StoreEntry> changesAfter(StoreRevision afterRevision) {
        return history.stream()
                .filter(entry -> entry.modRevision().number() > afterRevision.number())
                .toList();
    }

    public synchronized void removeListener(BiConsumer<StoreRevision, List<StoreEntry>> listener) {
        listeners.remove(listener);
    }

    /** Grants a lease; {@code now} is in milliseconds. */
    public synchronized StoreLease grantLease(long ttlSeconds, long now) {
        long id = nextLease++;
        leases.put(id, new Lease(ttlSeconds * 1_000, now + ttlSeconds * 1_000));
        return new StoreLease(revision.era(), id);
    }

    /** Renews a lease and returns its time to live in seconds, 0 if it has expired. */
    public synchronized long keepAlive(long id, long now) {
        expireLeases(now);
        Lease lease = leases.get(id);
        if (lease == null) {
            return 0;
        }
        leases.put(id, new Lease(lease.ttlMillis(), now + lease.ttlMillis()));
        return lease.ttlMillis() / 1_000;
    }

    /** Removes expired leases and the keys attached to them. */
    public synchronized void expireLeases(long now) {
        List<Long> expired = leases.entrySet().stream()
                .filter(entry -> entry.getValue().endMillis() <= now)
                .map(Map.Entry::getKey)
                .toList();
        if (expired.isEmpty()) {
            return;
        }
        leases.keySet().removeAll(expired);
        List<String> keys = rows.values().stream()
                .filter(row -> expired.contains(row.lease()))
                .map(row -> row.entry().key())
                .toList();
        if (!keys.isEmpty()) {
            write(List.of(), keys);
        }
    }

    private void write(List<Txn.Put> puts, List<String> deletes) {
        revision = new StoreRevision(revision.era(), revision.number() + 1);
        List<StoreEntry> changes = new ArrayList<>();
        for (Txn.Put put : puts) {
            StoreEntry entry = new StoreEntry(put.key(), put.value(), revision);
            rows.put(put.key(), new Row(entry, put.lease().id()));
            changes.add(entry);
        }
        deletes.stream()
                .filter(key -> rows.remove(key) != null)
                .forEach(key -> changes.add(new StoreEntry(key, "", revision)));
        history.addAll(changes);
        listeners.forEach(listener -> listener.accept(revision, changes));
    }

    private long modRevision(String key) {
        Row row = rows.get(key);
        return row == null ? 0 : row.entry().modRevision().number();
    }
}
