package org.cuminspur.traffic;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cuminspur.id.StreamId;

/**
 * Remembers where streams began, for as long as they may be resumed.
 *
 * <p>Not thread-safe. Holds a bounded number of streams; the oldest are forgotten first. The origin of a stream never
 * changes: a later statement prolongs the memory only.
 */
final class StreamOriginTable {
    /** Streams that an instance remembers, some 10 MB: several times what it is told at its highest load. */
    static final int MAX_STREAMS = 65_536;

    private record Entry(StreamOrigin origin, long expiryMillis) {}

    private final int maxStreams;
    private final Map<StreamId, Entry> entries = new LinkedHashMap<>();

    StreamOriginTable(int maxStreams) {
        this.maxStreams = maxStreams;
    }

    /** Remembers a stream for a time. */
    void put(StreamId stream, StreamOrigin origin, long retentionMillis, long nowMillis) {
        Entry previous = entries.remove(stream);
        boolean known = previous != null && previous.expiryMillis() > nowMillis;
        StreamOrigin kept = known ? previous.origin() : origin;
        long expiry = known ? previous.expiryMillis() : Long.MIN_VALUE;
        entries.put(stream, new Entry(kept, Math.max(expiry, nowMillis + retentionMillis)));
        dropOldest(nowMillis);
    }

    /** Returns where a stream began, empty if it is not known. */
    Optional<StreamOrigin> find(StreamId stream, long nowMillis) {
        return Optional.ofNullable(entries.get(stream))
                .filter(entry -> entry.expiryMillis() > nowMillis)
                .map(Entry::origin);
    }

    /** Returns how long a stream is still remembered, 0 if it is not known. */
    long remainingMillis(StreamId stream, long nowMillis) {
        Entry entry = entries.get(stream);
        return entry == null ? 0 : Math.max(0, entry.expiryMillis() - nowMillis);
    }

    /** Returns all streams that are remembered. */
    StreamOrigins origins(long nowMillis) {
        return new StreamOrigins(entries.entrySet().stream()
                .filter(entry -> entry.getValue().expiryMillis() > nowMillis)
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> entry.getValue().origin())));
    }

    int size() {
        return entries.size();
    }

    private void dropOldest(long nowMillis) {
        Iterator<Entry> oldestFirst = entries.values().iterator();
        while (oldestFirst.hasNext()) {
            boolean expired = oldestFirst.next().expiryMillis() <= nowMillis;
            if (!expired && entries.size() <= maxStreams) {
                return;
            }
            oldestFirst.remove();
        }
    }
}
