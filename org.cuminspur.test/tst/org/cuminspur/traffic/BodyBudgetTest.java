package org.cuminspur.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Checks the bound on the bytes of all request bodies. */
public class BodyBudgetTest {
    private static final long CAPACITY = 4_000_000;
    private static final long LARGE = 1_000_000;

    @Test
    public void largeBodiesLeaveRoomForSmallOnes() {
        BodyBudget budget = new BodyBudget(CAPACITY);
        for (int i = 0; i < 3; i++) {
            assertTrue(budget.tryReserve(LARGE, LARGE));
        }
        assertFalse(budget.tryReserve(LARGE, LARGE));
        assertTrue(budget.tryReserve(BodyBudget.SMALL_BODY_BYTES, BodyBudget.SMALL_BODY_BYTES));
    }

    @Test
    public void smallBodiesAreBoundedToo() {
        BodyBudget budget = new BodyBudget(CAPACITY);
        long small = BodyBudget.SMALL_BODY_BYTES;
        for (long bytes = small; bytes <= CAPACITY; bytes += small) {
            assertTrue(budget.tryReserve(small, small));
        }
        assertFalse(budget.tryReserve(small, small));
    }

    @Test
    public void refusedAndReleasedBytesAreFree() {
        BodyBudget budget = new BodyBudget(CAPACITY);
        assertFalse(budget.tryReserve(2 * CAPACITY, 2 * CAPACITY));
        assertTrue(budget.tryReserve(LARGE, LARGE));
        budget.release(LARGE);
        assertEquals(budget.reservedBytes(), 0);
    }
}
