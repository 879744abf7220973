package org.cuminspur.event;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks which failures of an action cost that action only. */
public class FaultBarrierTest {
    private final List<String> events = new ArrayList<>();
    private final FaultBarrier barrier = new FaultBarrier((event, fields) -> events.add(event), "failed");

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {new IllegalStateException("planted")}, {new StackOverflowError()}, {new OutOfMemoryError("planted")}
        };
    }

    @Test(dataProvider = "failures")
    public void failureCostsItsActionAndALine(Throwable failure) {
        events.clear();
        assertFalse(barrier.run(() -> fail(failure)));
        assertEquals(events, List.of("failed"));
        assertTrue(barrier.run(() -> {}));
    }

    @Test
    public void failureWithoutMemoryForALineCostsItsActionOnly() {
        FaultBarrier silent = new FaultBarrier(
                (event, fields) -> {
                    throw new OutOfMemoryError("planted");
                },
                "failed");
        assertFalse(silent.run(() -> fail(new OutOfMemoryError("planted"))));
    }

    /** A process in which classes are missing must not go on. */
    @Test
    public void otherErrorsPass() {
        assertThrows(NoClassDefFoundError.class, () -> barrier.run(() -> fail(new NoClassDefFoundError("planted"))));
    }

    private static void fail(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }
}
