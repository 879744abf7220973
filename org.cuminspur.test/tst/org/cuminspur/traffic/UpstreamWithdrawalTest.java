package org.cuminspur.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks when an upstream that withdrew in a response gets requests again. */
public class UpstreamWithdrawalTest {
    private static final long NOW_MS = 100_000;

    private UpstreamPool pool;

    @BeforeMethod
    public void create() {
        pool = new UpstreamPool(new InstanceId("instance-0"), TrafficFixtures.BOUNDS, gone -> {});
        pool.update(TrafficFixtures.view(1, TrafficFixtures.upstream("one", 1, "v1")), NOW_MS);
    }

    @Test
    public void upstreamThatLeavesStaysOutWhateverItsEntrySays() {
        assertTrue(one().recordLeaving(0));
        assertFalse(one().recordLeaving(0));
        pool.update(TrafficFixtures.view(2, TrafficFixtures.upstream("one", 1, "v1")), NOW_MS);
        assertFalse(one().acceptsNewWork());
    }

    @Test
    public void newStartOfAnUpstreamThatLeftTakesRequests() {
        one().recordLeaving(0);
        pool.update(TrafficFixtures.view(1, TrafficFixtures.upstream("one", 2, "v1")), NOW_MS);
        assertTrue(one().acceptsNewWork());
        assertEquals(one().entry().startedMillis(), 2);
    }

    @Test
    public void pauseLastsForTheLongestTimeAskedFor() {
        one().pause(2_000, NOW_MS);
        one().pause(500, NOW_MS + 100);
        assertEquals(one().leftOutMillis(NOW_MS + 1_000), 1_000);
        one().pause(5_000, NOW_MS + 1_000);
        assertEquals(one().leftOutMillis(NOW_MS + 2_000), 4_000);
        assertEquals(one().leftOutMillis(NOW_MS + 6_000), 0);
    }

    @Test
    public void pauseIsNotShortenedByALimit() {
        one().pause(2_000, NOW_MS);
        one().leaveOutUntil(NOW_MS + 100);
        assertEquals(one().leftOutMillis(NOW_MS + 500), 1_500);
    }

    @Test
    public void pauseIsBounded() {
        assertEquals(RequestPause.ofSeconds(1e9).millis(), RequestPause.MAX_MILLIS);
        assertEquals(RequestPause.ofSeconds(0.25).millis(), 250);
        assertFalse(RequestPause.INVALID.isValid());
    }

    @Test
    public void pauseOutlivesAChangeOfTheEntry() {
        one().pause(2_000, NOW_MS);
        pool.update(
                TrafficFixtures.view(2, TrafficFixtures.upstream("one", 1, "v1").asDraining()), NOW_MS + 100);
        pool.update(TrafficFixtures.view(3, TrafficFixtures.upstream("one", 1, "v1")), NOW_MS + 200);
        assertEquals(one().leftOutMillis(NOW_MS + 500), 1_500);
    }

    @Test
    public void whatAProcessSaidOutlivesItsEntry() {
        UpstreamState before = one();
        before.pause(2_000, NOW_MS);
        pool.update(TrafficFixtures.view(2), NOW_MS + 100);
        pool.update(TrafficFixtures.view(3, TrafficFixtures.upstream("one", 1, "v1")), NOW_MS + 200);
        assertEquals(one().leftOutMillis(NOW_MS + 500), 1_500);
        before.pause(4_000, NOW_MS + 500);
        before.recordLeaving(0);
        assertEquals(one().leftOutMillis(NOW_MS + 500), 4_000);
        assertFalse(one().acceptsNewWork());
    }

    @Test
    public void pauseOfAProcessDoesNotBindTheNextOne() {
        one().pause(2_000, NOW_MS);
        pool.update(TrafficFixtures.view(2), NOW_MS + 100);
        pool.update(TrafficFixtures.view(3, TrafficFixtures.upstream("one", 2, "v1")), NOW_MS + 200);
        assertEquals(one().leftOutMillis(NOW_MS + 500), 0);
    }

    @Test
    public void processesThatWentAreForgottenInTime() {
        for (int i = 0; i < 4 * UpstreamPool.MAX_WITHDRAWALS; i++) {
            pool.update(TrafficFixtures.view(2, TrafficFixtures.upstream("other", i, "v1")), NOW_MS + i);
        }
        assertTrue(pool.withdrawals() <= UpstreamPool.MAX_WITHDRAWALS + 1, "kept " + pool.withdrawals());
    }

    private UpstreamState one() {
        return pool.find(new UpstreamId("one")).orElseThrow();
    }
}
