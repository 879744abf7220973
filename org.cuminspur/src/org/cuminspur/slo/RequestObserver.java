package org.cuminspur.slo;

/** Receives the outcome of each request that had a route; implementations are thread-safe and never block. */
@FunctionalInterface
public interface RequestObserver {
    void observe(RequestOutcome outcome);
}
