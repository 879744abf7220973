package org.cuminspur.traffic;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Assigns the prompts of a service to owning upstreams; immutable and thread-safe.
 *
 * <p>Prompts are hashed into buckets, and each bucket has an owner. When an owner is removed, only its buckets move, to
 * the upstreams that own the fewest, which are the newest ones. So a rolling release moves each prompt once, and added
 * upstreams move none until {@link #rebalanced}. Instances that see the same changes build the same table.
 *
 * <p>A table derived from another one remembers previous owners, from which new owners can copy their caches. Previous
 * owners are local to the instance: they are neither stored nor part of equality.
 */
public final class PromptTable {
    /** Number of buckets; with 100 upstreams, their shares differ by about a tenth. */
    public static final int BUCKETS = 1_024;

    /** A table without owners. */
    public static final PromptTable EMPTY = new PromptTable(new UpstreamId[BUCKETS], new UpstreamId[BUCKETS]);

    private final UpstreamId[] owners;
    private final UpstreamId[] previousOwners;

    private PromptTable(UpstreamId[] owners, UpstreamId[] previousOwners) {
        this.owners = owners;
        this.previousOwners = previousOwners;
    }

    /** Returns a table with the given owner of each bucket; a bucket may have none. */
    static PromptTable of(UpstreamId... owners) {
        if (owners.length != BUCKETS) {
            throw new IllegalArgumentException("expected " + BUCKETS + " buckets, found " + owners.length);
        }
        return new PromptTable(owners.clone(), new UpstreamId[BUCKETS]);
    }

    /** Returns the owner of a prompt, or null if its bucket has none. */
    public UpstreamId owner(long key) {
        return owners[bucket(key)];
    }

    /** Returns the previous owner of a prompt, or null if none is remembered. */
    public UpstreamId previousOwner(long key) {
        return previousOwners[bucket(key)];
    }

    /** Returns this table, with the owners of an earlier table remembered where they differ. */
    PromptTable withPreviousOwnersFrom(PromptTable earlier) {
        UpstreamId[] previous = earlier.previousOwners.clone();
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            UpstreamId earlierOwner = earlier.owners[bucket];
            if (earlierOwner != null && !earlierOwner.equals(owners[bucket])) {
                previous[bucket] = earlierOwner;
            }
        }
        return new PromptTable(owners, previous);
    }

    /** Returns the owner of each bucket. */
    List<UpstreamId> owners() {
        return Arrays.asList(owners);
    }

    /** Returns a table in which every bucket is owned by a member, or this one if there are no members. */
    public PromptTable reassigned(Set<UpstreamId> members) {
        if (members.isEmpty()) {
            return this;
        }
        Map<UpstreamId, Integer> counts = bucketCounts(members);
        UpstreamId[] next = owners.clone();
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            if (next[bucket] == null || !members.contains(next[bucket])) {
                next[bucket] = memberWithFewest(counts);
                counts.merge(next[bucket], 1, Integer::sum);
            }
        }
        return Arrays.equals(next, owners) ? this : of(next).withPreviousOwnersFrom(this);
    }

    /** Returns a table with up to {@code maxMoves} buckets moved from members with the most to those with fewest. */
    public PromptTable rebalanced(Set<UpstreamId> members, int maxMoves) {
        Map<UpstreamId, Integer> counts = bucketCounts(members);
        UpstreamId[] next = owners.clone();
        for (int moved = 0; moved < maxMoves && !counts.isEmpty(); moved++) {
            UpstreamId from = memberWithMost(counts);
            UpstreamId to = memberWithFewest(counts);
            if (counts.get(from) - counts.get(to) < 2) {
                break;
            }
            next[Arrays.asList(next).indexOf(from)] = to;
            counts.merge(from, -1, Integer::sum);
            counts.merge(to, 1, Integer::sum);
        }
        return Arrays.equals(next, owners) ? this : of(next).withPreviousOwnersFrom(this);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PromptTable table && Arrays.equals(owners, table.owners);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(owners);
    }

    private static int bucket(long key) {
        return (int) Long.remainderUnsigned(Rendezvous.mix(key, 0), BUCKETS);
    }

    /** Returns the number of buckets that each member owns. */
    Map<UpstreamId, Integer> bucketCounts(Set<UpstreamId> members) {
        Map<UpstreamId, Integer> counts = new HashMap<>();
        members.forEach(member -> counts.put(member, 0));
        for (UpstreamId owner : owners) {
            if (owner != null) {
                counts.computeIfPresent(owner, (id, count) -> count + 1);
            }
        }
        return counts;
    }

    private static UpstreamId memberWithFewest(Map<UpstreamId, Integer> counts) {
        return counts.entrySet().stream()
                .min(Map.Entry.<UpstreamId, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .orElseThrow();
    }

    private static UpstreamId memberWithMost(Map<UpstreamId, Integer> counts) {
        return counts.entrySet().stream()
                .max(Map.Entry.<UpstreamId, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .orElseThrow();
    }

    /** Encodes as text: owner ids separated by commas, a semicolon, and the index of each bucket's owner in base 36. */
    String encode() {
        List<UpstreamId> ids = Arrays.stream(owners)
                .filter(Objects::nonNull)
                .distinct()
                .sorted(Comparator.naturalOrder())
                .toList();
        Map<UpstreamId, String> positions = IntStream.range(0, ids.size())
                .boxed()
                .collect(Collectors.toMap(ids::get, position -> Integer.toString(position, Character.MAX_RADIX)));
        return ids.stream().map(UpstreamId::value).collect(Collectors.joining(","))
                + ";"
                + Arrays.stream(owners)
                        .map(owner -> owner == null ? "" : positions.get(owner))
                        .collect(Collectors.joining(","));
    }

    /** Decodes the text of {@link #encode}; throws {@link IllegalArgumentException} if it is malformed. */
    public static PromptTable decode(String text) {
        String[] parts = text.split(";", -1);
        if (parts.length != 2) {
            throw new IllegalArgumentException("malformed prompt table: expected owner ids, a semicolon and buckets");
        }
        String[] ids = parts[0].split(",", -1);
        Function<String, UpstreamId> owner = position -> {
            int index = position.isEmpty() ? -1 : Integer.parseInt(position, Character.MAX_RADIX);
            if (index >= ids.length) {
                throw new IllegalArgumentException("malformed prompt table: no owner with index " + index);
            }
            return index < 0 ? null : new UpstreamId(ids[index]);
        };
        return of(Arrays.stream(parts[1].split(",", -1)).map(owner).toArray(UpstreamId[]::new));
    }
}
