package org.cuminspur.retry;

/** Grants retries within a bound; thread safety is up to the implementation. */
public interface RetryPermits {
    /** Takes one retry; returns whether there was one. */
    boolean take();

    /** Notes a request that was served whole. */
    void succeeded();
}
