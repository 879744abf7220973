package org.cuminspur.router.internal.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Checks when a planned stop may end the process. */
public class StopStateTest {
    private static final long IDLE_MS = 300;

    @Test
    public void waitsForLateRequestAndForTransitOfItsResponse() throws InterruptedException {
        StopState stop = new StopState();
        long startNanos = System.nanoTime();
        Thread late = new Thread(() -> {
            pause(100);
            stop.requestStarted();
            pause(100);
            stop.requestEnded();
        });
        late.start();
        assertEquals(stop.awaitIdle(startNanos + TimeUnit.SECONDS.toNanos(5), IDLE_MS), 0);
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        late.join();
        assertTrue(millis >= 200 + IDLE_MS - 10, "ended after " + millis + " ms");
    }

    @Test
    public void returnsAtEndOfGraceTimeWithRequestInProgress() throws InterruptedException {
        StopState stop = new StopState();
        stop.requestStarted();
        long startNanos = System.nanoTime();
        assertEquals(stop.awaitIdle(startNanos + TimeUnit.MILLISECONDS.toNanos(400), IDLE_MS), 1);
        assertTrue(System.nanoTime() - startNanos >= TimeUnit.MILLISECONDS.toNanos(390));
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
