package org.cuminspur.standin;

import java.util.concurrent.TimeUnit;

/** Artificial delays of stand-ins; stateless and thread-safe. */
public final class Delays {
    private Delays() {}

    /** Sleeps; returns early with the interrupt flag set if the thread is interrupted. */
    public static void sleepMillis(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
