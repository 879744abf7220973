package org.cuminspur.balance;

import java.util.Random;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.traffic.UpstreamEntry;

/**
 * One upstream; the requests that it holds all run. Not thread-safe.
 *
 * <p>After a restart its caches are empty, so that requests at once slow each other down until it has answered some.
 */
final class SimulatedPlainServer {
    private final Random random;
    int running;
    int percent = 100;
    long arrivals;
    boolean down;
    double errorShare;
    int coldAnswers;
    long restartedMillis = Long.MIN_VALUE;
    final RequestOutcomes sinceRestart = new RequestOutcomes();

    SimulatedPlainServer(Random random) {
        this.random = random;
    }

    static UpstreamEntry entry(int number, FailureDomainId domain) {
        return new UpstreamEntry(
                new UpstreamId("upstream-" + number),
                1,
                SimulatedBalance.SERVICE,
                "10.1.0.1",
                80,
                domain,
                new SoftwareVersion("v1"),
                SimulatedBalance.SLOTS,
                false,
                0);
    }

    double workMillis() {
        double coldFactor = coldAnswers > 0 ? Math.max(1, running) : 1;
        return SimulatedBalance.WORK_MS * (0.5 + random.nextDouble()) * percent / 100 * coldFactor;
    }

    /** Returns whether the next request ends in an error, which takes no time. */
    boolean fails() {
        return errorShare > 0 && random.nextDouble() < errorShare;
    }

    void countSinceRestart(boolean quick) {
        if (restartedMillis != Long.MIN_VALUE) {
            sinceRestart.requests++;
            sinceRestart.onTime += quick ? 1 : 0;
        }
    }

    void arrived() {
        arrivals++;
        running++;
    }

    void answered() {
        running--;
        coldAnswers = Math.max(0, coldAnswers - 1);
    }
}
