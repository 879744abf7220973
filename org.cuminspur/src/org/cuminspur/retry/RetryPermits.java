package org.cuminspur.retry;

/** Grants retries within a bound; thread safety is up to the implementation. */
public interface RetryPermits {
    /** Takes one retry; returns whether there was one. */
    boolean tryAcquire();

    /** Notes a request that was served whole. */
    void recordSuccess();
}
