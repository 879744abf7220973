package org.cuminspur.standin;

import java.util.concurrent.TimeUnit;

/** Lets a stand-in take time; stateless and thread-safe. */
public final class Delays {
    private Delays() {}

    /** Waits for a number of milliseconds. */
    public static void sleepMillis(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
