package org.cuminspur.retry;

/** Grants retries within a bound; thread safety is up to the implementation. */
public interface RetryPermits {
    /** Takes one retry if the bound allows it; returns whether it did. */
    boolean tryAcquire();

    /** Records a request that was answered in full. */
    void recordSuccess();
}
