package org.cuminspur.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminspur.id.UpstreamId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks how many buckets move as upstreams are added and removed. */
public class PromptTableTest {
    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{1}, {3}, {8}, {63}, {98}};
    }

    @Test(dataProvider = "sizes")
    public void bucketsAreSharedEvenly(int size) {
        PromptTable table = PromptTable.EMPTY.reassigned(upstreams(0, size));
        List<Integer> held = upstreams(0, size).stream()
                .map(id -> Collections.frequency(table.owners(), id))
                .toList();
        assertTrue(Collections.max(held) - Collections.min(held) <= 1, held.toString());
    }

    @Test(dataProvider = "sizes")
    public void addedUpstreamsMoveNothing(int size) {
        PromptTable table = PromptTable.EMPTY.reassigned(upstreams(0, size));
        assertEquals(table.reassigned(upstreams(0, size + 3)), table);
    }

    @Test(dataProvider = "sizes")
    public void rollingReleaseMovesEachPromptOnce(int size) {
        PromptTable table = PromptTable.EMPTY.reassigned(upstreams(0, size));
        int moved = 0;
        for (int step = 0; step < size; step++) {
            PromptTable joined = table.reassigned(upstreams(step, size + step + 1));
            PromptTable left = joined.reassigned(upstreams(step + 1, size + step + 1));
            moved += moved(table, left);
            table = left;
        }
        // Bucket counts differ by one, so a bucket may go to an upstream other than the new one and move again.
        assertTrue(moved >= PromptTable.BUCKETS && moved <= PromptTable.BUCKETS + size, "moved buckets: " + moved);
    }

    @Test
    public void removedUpstreamMovesOnlyItsOwnBuckets() {
        PromptTable table = PromptTable.EMPTY.reassigned(upstreams(0, 8));
        PromptTable next = table.reassigned(upstreams(1, 8));
        assertEquals(moved(table, next), PromptTable.BUCKETS / 8);
    }

    @Test
    public void rebalancingMovesAtMostTheGivenNumber() {
        PromptTable table = PromptTable.EMPTY.reassigned(upstreams(0, 8));
        PromptTable next = table.rebalanced(upstreams(0, 10), 10);
        assertEquals(moved(table, next), 10);
        for (int step = 0; step < 100; step++) {
            next = next.rebalanced(upstreams(0, 10), 10);
        }
        PromptTable even = next;
        assertTrue(upstreams(0, 10).stream()
                .allMatch(id -> Collections.frequency(even.owners(), id) >= PromptTable.BUCKETS / 10));
    }

    @Test
    public void instancesThatBatchAReleaseDifferentlyNearlyAgree() {
        int size = 98;
        PromptTable first = PromptTable.EMPTY.reassigned(upstreams(0, size));
        PromptTable single = first;
        PromptTable batched = first;
        for (int step = 1; step <= 40; step++) {
            // Each step adds an upstream, then removes the oldest.
            single = single.reassigned(upstreams(step - 1, size + step)).reassigned(upstreams(step, size + step));
            if (step % 5 == 0) {
                batched = batched.reassigned(upstreams(step, size + step));
            }
        }
        int differing = moved(single, batched);
        assertTrue(differing <= PromptTable.BUCKETS / 20, "differing buckets: " + differing);
    }

    @Test
    public void previousOwnerIsRememberedButNotStored() {
        PromptTable table = PromptTable.EMPTY.reassigned(upstreams(0, 8));
        PromptTable next = table.reassigned(upstreams(1, 8));
        PromptTable stored = PromptTable.decode(next.encode());
        for (long key = 0; key < 100; key++) {
            UpstreamId moved = table.owner(key).equals(next.owner(key)) ? null : table.owner(key);
            assertEquals(next.previousOwner(key), moved);
            assertEquals(stored.previousOwner(key), null);
            assertEquals(stored.withPreviousOwnersFrom(next).previousOwner(key), moved);
        }
        assertEquals(stored, next);
    }

    @Test(dataProvider = "sizes")
    public void tableSurvivesEncodingAndDecoding(int size) {
        PromptTable table = PromptTable.EMPTY.reassigned(upstreams(0, size));
        assertEquals(PromptTable.decode(table.encode()), table);
        assertEquals(PromptTable.decode(PromptTable.EMPTY.encode()), PromptTable.EMPTY);
    }

    @DataProvider
    public Object[][] malformed() {
        return new Object[][] {{""}, {";"}, {"a;0"}, {"a;" + "1,".repeat(1_023) + "1"}, {"a;" + "x!,".repeat(1_024)}};
    }

    @Test(dataProvider = "malformed")
    public void malformedTextIsRejected(String text) {
        assertThrows(IllegalArgumentException.class, () -> PromptTable.decode(text));
    }

    private static Set<UpstreamId> upstreams(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(i -> new UpstreamId(String.format("upstream-%03d", i)))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static int moved(PromptTable before, PromptTable after) {
        return (int) IntStream.range(0, PromptTable.BUCKETS)
                .filter(bucket ->
                        !before.owners().get(bucket).equals(after.owners().get(bucket)))
                .count();
    }
}
