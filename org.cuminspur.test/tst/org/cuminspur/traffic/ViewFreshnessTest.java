package org.cuminspur.traffic;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Checks the age of a confirmation when the steady clock stops or the wall clock is set back. */
public class ViewFreshnessTest {
    private long steadyNow = 1_000;
    private long wallNow = 50_000;
    private final ViewFreshness freshness = new ViewFreshness(() -> steadyNow, () -> wallNow);

    @Test
    public void ageIsUnknownBeforeTheFirstConfirmation() {
        assertEquals(new ViewFreshness(() -> 0, () -> 0).ageMillis(), Long.MAX_VALUE);
    }

    @Test
    public void ageCountsFromTheStartOfTheRead() {
        confirmNow();
        ViewFreshness.ClockReading readStart = freshness.now();
        advance(40, 40);
        freshness.confirm(readStart);
        assertEquals(freshness.ageMillis(), 40);
    }

    @Test
    public void suspendedTimeCountsByTheWallClock() {
        confirmNow();
        freshness.confirm(freshness.now());
        advance(10, 7_010);
        assertEquals(freshness.ageMillis(), 7_010);
    }

    @Test
    public void ageIsUnknownAfterTheWallClockWasSetBack() {
        confirmNow();
        freshness.confirm(freshness.now());
        advance(1_000, -2_000);
        assertEquals(freshness.ageMillis(), Long.MAX_VALUE);
        freshness.confirm(freshness.now());
        assertEquals(freshness.ageMillis(), 0);
    }

    @Test
    public void confirmationOfAnOlderReadIsIgnored() {
        confirmNow();
        ViewFreshness.ClockReading early = freshness.now();
        advance(500, 500);
        freshness.confirm(freshness.now());
        freshness.confirm(early);
        assertEquals(freshness.ageMillis(), 0);
    }

    private void confirmNow() {
        freshness.confirm(freshness.now());
    }

    private void advance(long steadyMillis, long wallMillis) {
        steadyNow += steadyMillis;
        wallNow += wallMillis;
    }
}
