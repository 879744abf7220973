package org.cuminspur.slo;

/** Takes the outcome of each request that had a route; implementations are thread-safe and never wait. */
@FunctionalInterface
public interface RequestObserver {
    /** Takes one outcome. */
    void observe(RequestOutcome outcome);
}
