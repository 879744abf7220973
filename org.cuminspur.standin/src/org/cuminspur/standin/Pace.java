package org.cuminspur.standin;

import java.util.concurrent.TimeUnit;

/** Lets a stand-in take time; stateless and thread-safe. */
public final class Pace {
    private Pace() {}

    /** Waits for a number of milliseconds. */
    public static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
