package org.cuminspur.traffic;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Checks the age of a confirmation under freezes and steps of the clocks. */
public class ViewFreshnessTest {
    private long steady = 1_000;
    private long wall = 50_000;
    private final ViewFreshness freshness = new ViewFreshness(() -> steady, () -> wall);

    @Test
    public void nothingIsCertainBeforeTheFirstConfirmation() {
        assertEquals(new ViewFreshness(() -> 0, () -> 0).ageMillis(), Long.MAX_VALUE);
    }

    @Test
    public void ageRunsFromTheStartOfTheRead() {
        reset();
        ViewFreshness.ClockReading began = freshness.now();
        pass(40, 40);
        freshness.confirm(began);
        assertEquals(freshness.ageMillis(), 40);
    }

    @Test
    public void timeInAFreezeCountsThoughTheSteadyClockStoodStill() {
        reset();
        freshness.confirm(freshness.now());
        pass(10, 7_010);
        assertEquals(freshness.ageMillis(), 7_010);
    }

    @Test
    public void aWallClockSetBackProvesNothing() {
        reset();
        freshness.confirm(freshness.now());
        pass(1_000, -2_000);
        assertEquals(freshness.ageMillis(), Long.MAX_VALUE);
        freshness.confirm(freshness.now());
        assertEquals(freshness.ageMillis(), 0);
    }

    @Test
    public void anOlderReadThatAnswersLaterChangesNothing() {
        reset();
        ViewFreshness.ClockReading early = freshness.now();
        pass(500, 500);
        freshness.confirm(freshness.now());
        freshness.confirm(early);
        assertEquals(freshness.ageMillis(), 0);
    }

    private void reset() {
        freshness.confirm(freshness.now());
    }

    private void pass(long onSteady, long onWall) {
        steady += onSteady;
        wall += onWall;
    }
}
