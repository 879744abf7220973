package org.cuminspur.control.system;

/** The mean load over a service's upstreams; used by one thread. */
final class MeanLoad {
    private static final double MIN_MEAN = 1;

    private double sum;
    private int count;

    void add(double load) {
        sum += load;
        count++;
    }

    /** Returns the mean, at least one request, so that an idle service has no hot upstreams. */
    double value() {
        return count == 0 ? MIN_MEAN : Math.max(MIN_MEAN, sum / count);
    }
}
