package org.cuminspur.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cuminspur.id.InstanceId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks which load reports are passed on to other instances, and what a received notice changes. */
public class LoadNoticePolicyTest {
    private static final double LIMIT = 8;
    private static final long KEY = 42;

    private final LoadNoticePolicy policy = new LoadNoticePolicy();
    private final PromptPlacement placement =
            new PromptPlacement(TrafficFixtures.MILANO, TrafficFixtures.BOUNDS.loadFactor(), () -> 0.5);
    private UpstreamPool pool;
    private long now = 1_000_000;

    @BeforeMethod
    public void createPool() {
        now += 60_000;
        pool = new UpstreamPool(new InstanceId("instance-0"), TrafficFixtures.BOUNDS, gone -> {});
        pool.update(TrafficFixtures.view(6, TrafficFixtures.upstreams(120)), now);
    }

    @Test
    public void onlyLoadsOverTheLimitArePassedOn() {
        assertTrue(policy.noticeOf(upstream(0), 8, LIMIT, now).isEmpty());
        assertEquals(
                policy.noticeOf(upstream(0), 9, LIMIT, now),
                Optional.of(new LoadNotice(upstream(0).id(), 1, 9)));
    }

    @Test
    public void anUpstreamIsNotPassedOnAgainSoonAfterANotice() {
        assertTrue(policy.noticeOf(upstream(0), 9, LIMIT, now).isPresent());
        assertTrue(policy.noticeOf(upstream(0), 12, LIMIT, now + 100).isEmpty());
        policy.recordReceived(upstream(1), new LoadNotice(upstream(1).id(), 1, 9), now);
        assertTrue(policy.noticeOf(upstream(1), 12, LIMIT, now + 100).isEmpty());
        assertTrue(policy.noticeOf(upstream(1), 12, LIMIT, now + 200).isPresent());
    }

    @Test
    public void noticesOfTheFleetAreBoundedInEachSecond() {
        long sent = modelUpstreams().stream()
                .filter(state -> policy.noticeOf(state, 9, LIMIT, now).isPresent())
                .count();
        assertEquals(sent, 50);
        assertTrue(policy.noticeOf(upstream(0), 9, LIMIT, now + 1_000).isPresent());
    }

    @Test
    public void noticeMovesPromptsOffAnUpstreamWithoutReports() {
        UpstreamState owner = chosen();
        policy.recordReceived(owner, new LoadNotice(owner.id(), 1, 30), now);
        assertNotEquals(chosen().id(), owner.id());
        now += 10_000;
        assertEquals(chosen().id(), owner.id());
    }

    @Test
    public void noticeDoesNotRaiseTheLimit() {
        List<UpstreamState> service = modelUpstreams();
        double limit = placement.loadLimit(service, now);
        policy.recordReceived(service.get(0), new LoadNotice(service.get(0).id(), 1, 1_000), now);
        assertEquals(placement.loadLimit(service, now), limit);
    }

    @Test
    public void laterReportReplacesANotice() {
        UpstreamState owner = chosen();
        policy.recordReceived(owner, new LoadNotice(owner.id(), 1, 30), now);
        owner.recordReportedLoad(0, 0, now + 10);
        now += 20;
        assertEquals(chosen().id(), owner.id());
    }

    @Test
    public void noticeOfAnEarlierStartIsIgnored() {
        UpstreamState owner = chosen();
        policy.recordReceived(owner, new LoadNotice(owner.id(), 0, 30), now);
        assertEquals(chosen().id(), owner.id());
    }

    private UpstreamState upstream(int number) {
        return modelUpstreams().get(number);
    }

    private List<UpstreamState> modelUpstreams() {
        return TrafficFixtures.modelUpstreams(pool);
    }

    private UpstreamState chosen() {
        return placement
                .choose(pool.upstreams(TrafficFixtures.MODEL), TrafficFixtures.criteria(KEY), now)
                .orElseThrow()
                .upstream();
    }
}
