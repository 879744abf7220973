package org.cuminspur.router.internal.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Checks when a planned stop may end the process. */
public class StopStateTest {
    private static final long QUIET_MS = 300;

    @Test
    public void aRequestThatComesLateIsWaitedForAndItsAnswerHasTimeToLeave() throws InterruptedException {
        StopState stop = new StopState();
        long began = System.nanoTime();
        Thread late = new Thread(() -> {
            pause(100);
            stop.entered();
            pause(100);
            stop.left();
        });
        late.start();
        assertEquals(stop.awaitQuiet(began + TimeUnit.SECONDS.toNanos(5), QUIET_MS), 0);
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
        late.join();
        assertTrue(millis >= 200 + QUIET_MS - 10, "ended after " + millis + " ms");
    }

    @Test
    public void theEndOfTheGraceTimeIsKept() throws InterruptedException {
        StopState stop = new StopState();
        stop.entered();
        long began = System.nanoTime();
        assertEquals(stop.awaitQuiet(began + TimeUnit.MILLISECONDS.toNanos(400), QUIET_MS), 1);
        assertTrue(System.nanoTime() - began >= TimeUnit.MILLISECONDS.toNanos(390));
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
