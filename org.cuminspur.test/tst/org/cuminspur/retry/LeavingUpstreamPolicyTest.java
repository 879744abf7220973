package org.cuminspur.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.concurrent.atomic.AtomicLong;
import org.cuminspur.traffic.TrafficBounds;
import org.cuminspur.traffic.UpstreamStanding;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks when an attempt at an upstream that leaves is no longer waited for. */
public class LeavingUpstreamPolicyTest {
    private static final TrafficBounds BOUNDS =
            new TrafficBounds(5_000, 2_000, 2_000, 0.2, 52, 10_000, 1.5, 5, 2, 8_000);

    @DataProvider
    public Object[][] attempts() {
        return new Object[][] {
            {UpstreamStanding.READY, 60_000, 60_000, false},
            {UpstreamStanding.DOMAIN_DRAINED, 60_000, 60_000, false},
            {UpstreamStanding.LEAVING, 499, 5_000, false},
            {UpstreamStanding.LEAVING, 500, 999, false},
            {UpstreamStanding.LEAVING, 500, 1_000, true},
            {UpstreamStanding.GONE, 500, 1_000, true},
        };
    }

    @Test(dataProvider = "attempts")
    public void attemptIsGivenUpInTheSilenceOfAnUpstreamThatLeaves(
            UpstreamStanding standing, long standingMillis, long silentMillis, boolean givenUp) {
        assertEquals(LeavingUpstreamPolicy.givesUp(BOUNDS, standing, standingMillis, silentMillis), givenUp);
    }

    @DataProvider
    public Object[][] constraints() {
        return new Object[][] {
            {new RetryConstraints(true, 1_000, 2), 0, true},
            {new RetryConstraints(true, 1_000, 1), 0, false},
            {new RetryConstraints(false, 1_000, 2), 0, false},
            {new RetryConstraints(true, 1_000, 2), 1_000, false},
        };
    }

    @Test(dataProvider = "constraints")
    public void requestMovesOnOnlyIfItMayRunAgain(RetryConstraints constraints, long nowMillis, boolean movesOn) {
        AtomicLong now = new AtomicLong();
        AttemptStateMachine attempts = new AttemptStateMachine(constraints, new RetryBudget(), now::get);
        attempts.start();
        now.set(nowMillis);
        assertEquals(attempts.tryMoveOn(), movesOn);
        assertEquals(attempts.mayHaveRun(), movesOn, "an attempt that goes on changes nothing");
    }

    @Test
    public void requestDoesNotMoveOnWithoutARetryInTheBudget() {
        RetryPermits none = new RetryPermits() {
            @Override
            public void recordSuccess() {}

            @Override
            public boolean tryAcquire() {
                return false;
            }
        };
        AttemptStateMachine attempts = new AttemptStateMachine(new RetryConstraints(true, 1_000, 2), none, () -> 0);
        attempts.start();
        assertFalse(attempts.tryMoveOn());
    }
}
