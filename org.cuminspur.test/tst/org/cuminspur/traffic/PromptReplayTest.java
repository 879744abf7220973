package org.cuminspur.traffic;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Replays load patterns in which prompts move away from the upstreams that have them cached.
 *
 * <p>Each request stays at its upstream for a while and leaves its prompt in the cache. A prompt is recomputed if the
 * chosen upstream has to compute it although another one has it cached. Compares placement with and without copies.
 */
public class PromptReplayTest {
    private static final int UPSTREAMS = 8;
    private static final int PROMPTS = 120;
    private static final int REQUESTS = 6_000;

    /** Maximum number of requests in progress, two for each upstream. */
    private static final int MAX_IN_PROGRESS = 2 * UPSTREAMS;

    /** Share of the requests that have one prompt, as when many callers ask about one subject. */
    private static final double HOT_SHARE = 0.3;

    /** A load pattern; immutable. */
    private record Pattern(String name, int releaseEvery, double hotShare) {
        @Override
        public String toString() {
            return name;
        }
    }

    /** An upstream's request in progress; immutable. */
    private record InProgress(UpstreamState upstream, Object request) {}

    @DataProvider
    public Object[][] patterns() {
        return new Object[][] {
            {new Pattern("release", 500, 0)},
            {new Pattern("hot-prompt", REQUESTS, HOT_SHARE)},
            {new Pattern("release-with-hot-prompt", 500, HOT_SHARE)}
        };
    }

    @Test(dataProvider = "patterns")
    public void copyingAvoidsMostRecomputation(Pattern pattern) {
        int withoutCopies = countRecomputed(pattern, false);
        int withCopies = countRecomputed(pattern, true);
        assertTrue(withoutCopies >= 2 * UPSTREAMS, "the pattern moves too few prompts: " + withoutCopies);
        assertTrue(withCopies <= withoutCopies / 4, withCopies + " recomputed, " + withoutCopies + " without copies");
    }

    private static int countRecomputed(Pattern pattern, boolean copies) {
        Random random = new Random(7);
        long now = 1_000_000;
        PromptPlacement placement =
                new PromptPlacement(TrafficFixtures.MILANO, TrafficFixtures.BOUNDS.loadFactor(), random::nextDouble);
        UpstreamPool pool = new UpstreamPool(new InstanceId("instance-0"), TrafficFixtures.BOUNDS, gone -> {});
        List<UpstreamEntry> entries = new ArrayList<>(List.of(TrafficFixtures.upstreams(UPSTREAMS)));
        PromptTable table = PromptTable.EMPTY.reassigned(inService(entries));
        Map<UpstreamId, Set<Long>> cached = new HashMap<>();
        Deque<InProgress> inProgress = new ArrayDeque<>();
        int recomputed = 0;
        for (int i = 0; i < REQUESTS; i++) {
            now += 20;
            if (i > 0 && i % pattern.releaseEvery() == 0) {
                release(entries, i);
                table = table.reassigned(inService(entries));
            }
            pool.update(TrafficFixtures.view(1, entries.toArray(UpstreamEntry[]::new)), now);
            long key = random.nextDouble() < pattern.hotShare() ? 0 : 1 + random.nextInt(PROMPTS);
            PromptPlacement.Criteria criteria = new PromptPlacement.Criteria(
                    OptionalLong.of(key),
                    Optional.ofNullable(table.owner(key)),
                    Optional.ofNullable(table.previousOwner(key)),
                    Set.of());
            PlacementDecision decision = placement
                    .choose(pool.upstreams(TrafficFixtures.MODEL), criteria, now)
                    .orElseThrow();
            recomputed += recomputes(cached, entries, decision, key, copies) ? 1 : 0;
            inProgress.add(new InProgress(decision.upstream(), i));
            decision.upstream().recordSent(i, now);
            if (inProgress.size() > MAX_IN_PROGRESS) {
                InProgress oldest = inProgress.remove();
                oldest.upstream().recordResponseStarted(oldest.request());
                oldest.upstream().recordEnded(oldest.request());
            }
        }
        return recomputed;
    }

    /** Caches the prompt at the chosen upstream; returns whether it was recomputed although cached at another one. */
    private static boolean recomputes(
            Map<UpstreamId, Set<Long>> cached,
            List<UpstreamEntry> entries,
            PlacementDecision decision,
            long key,
            boolean copies) {
        boolean copied = copies
                && decision.cacheSource()
                        .filter(source ->
                                cached.getOrDefault(source.id(), Set.of()).contains(key))
                        .isPresent();
        boolean cachedSomewhere = entries.stream()
                .anyMatch(entry -> cached.getOrDefault(entry.id(), Set.of()).contains(key));
        boolean missing = cached.computeIfAbsent(decision.upstream().id(), absent -> new HashSet<>())
                .add(key);
        return missing && cachedSomewhere && !copied;
    }

    /** Drains the oldest upstream, removes the one drained before, and adds a new one. */
    private static void release(List<UpstreamEntry> entries, int number) {
        entries.removeIf(UpstreamEntry::draining);
        entries.set(0, TrafficFixtures.draining(entries.get(0)));
        entries.add(entries.remove(0));
        entries.add(0, TrafficFixtures.upstream("new-" + number, TrafficFixtures.MILANO, 0));
        entries.add(entries.remove(0));
    }

    private static Set<UpstreamId> inService(List<UpstreamEntry> entries) {
        return entries.stream()
                .filter(entry -> !entry.draining())
                .map(UpstreamEntry::id)
                .collect(Collectors.toSet());
    }
}
