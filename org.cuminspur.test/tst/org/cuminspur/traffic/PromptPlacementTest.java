package org.cuminspur.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks where requests go when prompts are shared, and when upstreams are loaded, silent, failing, cold or leaving. */
public class PromptPlacementTest {
    private static final long KEY = 42;

    private final long now = 1_000_000;
    private final PromptPlacement placement =
            new PromptPlacement(TrafficFixtures.MILANO, TrafficFixtures.BOUNDS.loadFactor(), () -> 0.5);
    private UpstreamPool board;

    @BeforeMethod
    public void fill() {
        board = board("instance-0");
        board.update(TrafficFixtures.view(6, TrafficFixtures.upstreams(8)), now);
    }

    @Test
    public void allInstancesChooseTheSameUpstreamForAPrompt() {
        UpstreamPool other = board("instance-1");
        other.update(TrafficFixtures.view(6, TrafficFixtures.upstreams(8)), now);
        for (long key = 0; key < 100; key++) {
            assertEquals(chosen(board, key).id(), chosen(other, key).id());
        }
    }

    @Test
    public void aLoadedUpstreamGivesItsPromptsToTheNextInOrder() {
        UpstreamState first = chosen(board, KEY);
        load(first, 6);
        UpstreamState second = chosen(board, KEY);
        assertNotEquals(second.id(), first.id());
        load(second, 6);
        assertNotEquals(chosen(board, KEY).id(), second.id());
    }

    @Test
    public void noUpstreamHoldsMoreThanTheBoundWhenOnePromptGetsAllTraffic() {
        for (int i = 0; i < 80; i++) {
            load(chosen(board, KEY), 1);
        }
        double mean = TrafficFixtures.modelUpstreams(board).stream()
                .mapToInt(UpstreamState::inFlight)
                .average()
                .orElseThrow();
        int most = TrafficFixtures.modelUpstreams(board).stream()
                .mapToInt(UpstreamState::inFlight)
                .max()
                .orElseThrow();
        assertTrue(most <= TrafficFixtures.BOUNDS.loadFactor() * mean + 3, most + " against a mean of " + mean);
    }

    @Test
    public void theBoundHoldsWhileADomainIsEmptied() {
        UpstreamEntry[] entries = TrafficFixtures.upstreams(8);
        entries[1] = TrafficFixtures.upstream("upstream-1", TrafficFixtures.MILANO, 0);
        FleetView open = TrafficFixtures.view(6, entries);
        board.update(
                new FleetView(
                        open.routes(), open.upstreams(), Set.of(TrafficFixtures.TORINO), open.instances(), Map.of()),
                now);
        // One prompt in four is the same, as when one subject is asked for by all.
        for (int i = 0; i < 100; i++) {
            load(chosen(board, i % 4 == 0 ? KEY : i), 1);
        }
        double mean = 100.0 / 8;
        int most = TrafficFixtures.modelUpstreams(board).stream()
                .mapToInt(UpstreamState::inFlight)
                .max()
                .orElseThrow();
        assertTrue(most <= TrafficFixtures.BOUNDS.loadFactor() * mean + 3, most + " against a mean of " + mean);
    }

    @Test
    public void reportedLoadOfOthersCounts() {
        UpstreamState first = chosen(board, KEY);
        TrafficFixtures.modelUpstreams(board).forEach(state -> state.recordReportedLoad(0, 0, now));
        first.recordReportedLoad(30, 0, now);
        assertNotEquals(chosen(board, KEY).id(), first.id());
    }

    @Test
    public void aSilentUpstreamIsPassedOver() {
        UpstreamState first = chosen(board, KEY);
        Object request = new Object();
        first.recordSent(request, now - 2_000);
        assertNotEquals(chosen(board, KEY).id(), first.id());
        first.recordResponseStarted(request);
        assertEquals(chosen(board, KEY).id(), first.id());
    }

    @Test
    public void anUnreachableUpstreamIsLeftOutAndTriedAgain() {
        UpstreamState first = chosen(board, KEY);
        first.health().recordUnreachable(now);
        assertNotEquals(chosen(board, KEY).id(), first.id());
        UpstreamState again = placement
                .choose(board.upstreams(TrafficFixtures.MODEL), TrafficFixtures.criteria(KEY), now + 1_000)
                .orElseThrow()
                .upstream();
        assertEquals(again.id(), first.id());
    }

    @Test
    public void aServiceWhoseUpstreamsAllFailIsStillServed() {
        TrafficFixtures.modelUpstreams(board).forEach(state -> {
            for (int i = 0; i < 20; i++) {
                state.health().recordFailure(now);
            }
        });
        assertTrue(choice(board, KEY).isPresent());
    }

    @Test
    public void aColdUpstreamNeverGetsMoreThanItsShare() {
        board.update(TrafficFixtures.view(6, TrafficFixtures.upstream("only", TrafficFixtures.MILANO, 3_000)), now);
        int sent = 0;
        while (choice(board, KEY).isPresent()) {
            choice(board, KEY).orElseThrow().recordSent(new Object(), now);
            sent++;
        }
        assertTrue(sent >= 3 && sent <= 4, "sent " + sent);
    }

    @Test
    public void leavingEmptiedAndTriedUpstreamsGetNothing() {
        UpstreamEntry one = TrafficFixtures.upstream("one", TrafficFixtures.MILANO, 0);
        UpstreamEntry two = TrafficFixtures.upstream("two", TrafficFixtures.TORINO, 0);
        FleetView open = TrafficFixtures.view(6, TrafficFixtures.draining(one), two);
        FleetView emptied = new FleetView(
                open.routes(), open.upstreams(), Set.of(TrafficFixtures.TORINO), open.instances(), Map.of());
        board.update(open, now);
        assertEquals(chosen(board, KEY).id(), two.id());
        assertTrue(placement
                .choose(board.upstreams(TrafficFixtures.MODEL), TrafficFixtures.criteria(KEY, two.id()), now)
                .isEmpty());
        board.update(emptied, now);
        assertTrue(choice(board, KEY).isEmpty());
    }

    @Test
    public void anEmptiedDomainComesBackCold() {
        FleetView open = TrafficFixtures.view(6, TrafficFixtures.upstreams(2));
        board.update(
                new FleetView(
                        open.routes(), open.upstreams(), Set.of(TrafficFixtures.MILANO), open.instances(), Map.of()),
                now);
        board.update(open, now);
        TrafficFixtures.modelUpstreams(board)
                .forEach(state -> assertEquals(
                        state.isCold(now + 1), state.entry().domain().equals(TrafficFixtures.MILANO)));
    }

    @Test
    public void aPromptThatLeavesItsLoadedOwnerIsCopiedFromThere() {
        UpstreamState owner = chosen(board, KEY);
        load(owner, 6);
        PlacementDecision choice = placement
                .choose(board.upstreams(TrafficFixtures.MODEL), owned(owner, Optional.empty()), now)
                .orElseThrow();
        assertEquals(choice.reason(), PlacementDecision.Reason.SPILL_LOAD);
        assertEquals(choice.cacheSource().map(UpstreamState::id), Optional.of(owner.id()));
    }

    @Test
    public void aPromptIsCopiedFromItsPreviousOwnerWhileThatLeaves() {
        UpstreamEntry[] entries = TrafficFixtures.upstreams(8);
        entries[1] = TrafficFixtures.draining(entries[1]);
        board.update(TrafficFixtures.view(6, entries), now);
        UpstreamState owner = chosen(board, KEY);
        PlacementDecision choice = placement
                .choose(board.upstreams(TrafficFixtures.MODEL), owned(owner, Optional.of(entries[1].id())), now)
                .orElseThrow();
        assertEquals(choice.upstream().id(), owner.id());
        assertEquals(choice.cacheSource().map(UpstreamState::id), Optional.of(entries[1].id()));
    }

    @Test
    public void nothingIsCopiedFromAnUpstreamThatDoesNotAnswer() {
        UpstreamState owner = chosen(board, KEY);
        owner.recordSent("waits", now - 2_000);
        PlacementDecision choice = placement
                .choose(board.upstreams(TrafficFixtures.MODEL), owned(owner, Optional.empty()), now)
                .orElseThrow();
        assertEquals(choice.reason(), PlacementDecision.Reason.SPILL_UNSOUND);
        assertEquals(choice.cacheSource(), Optional.empty());
    }

    private static PromptPlacement.Criteria owned(UpstreamState owner, Optional<UpstreamId> previousOwner) {
        return new PromptPlacement.Criteria(OptionalLong.of(KEY), Optional.of(owner.id()), previousOwner, Set.of());
    }

    @Test
    public void requestsWithoutAPromptStayInTheirOwnDomainWhileItIsNotLoaded() {
        PromptPlacement.Criteria plain =
                new PromptPlacement.Criteria(OptionalLong.empty(), Optional.empty(), Optional.empty(), Set.of());
        UpstreamState near = placement
                .choose(board.upstreams(TrafficFixtures.MODEL), plain, now)
                .orElseThrow()
                .upstream();
        assertEquals(near.entry().domain(), TrafficFixtures.MILANO);
        TrafficFixtures.modelUpstreams(board).stream()
                .filter(state -> state.entry().domain().equals(TrafficFixtures.MILANO))
                .forEach(state -> load(state, 3));
        UpstreamState far = placement
                .choose(board.upstreams(TrafficFixtures.MODEL), plain, now)
                .orElseThrow()
                .upstream();
        assertEquals(far.entry().domain(), TrafficFixtures.TORINO);
    }

    private static UpstreamPool board(String instance) {
        return new UpstreamPool(new InstanceId(instance), TrafficFixtures.BOUNDS, gone -> {});
    }

    private Optional<UpstreamState> choice(UpstreamPool from, long key) {
        return placement
                .choose(from.upstreams(TrafficFixtures.MODEL), TrafficFixtures.criteria(key), now)
                .map(PlacementDecision::upstream);
    }

    private UpstreamState chosen(UpstreamPool from, long key) {
        return choice(from, key).orElseThrow();
    }

    /** Adds requests that have been answered in part, sent long ago. */
    private void load(UpstreamState state, int requests) {
        for (int i = 0; i < requests; i++) {
            Object request = new Object();
            state.recordSent(request, now - 5_000);
            state.recordResponseStarted(request);
        }
    }
}
