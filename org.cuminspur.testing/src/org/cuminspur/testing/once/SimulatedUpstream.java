package org.cuminspur.testing.once;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cuminspur.once.IdempotencyLedger.Outcome;
import org.cuminspur.testing.VirtualTime;

/**
 * A simulated upstream that executes every request it receives and may lose, refuse or delay requests.
 *
 * <p>Not thread-safe. Shares are from 0 to 1 and apply to each request independently.
 */
public final class SimulatedUpstream {
    private static final long MAX_DELAY_MS = 30_000;

    private final VirtualTime time;
    private final RandomGenerator random;
    private double refusedShare;
    private double lostRequestShare;
    private double lostAnswerShare;
    private double delayedShare;

    SimulatedUpstream(VirtualTime time, RandomGenerator random) {
        this.time = time;
        this.random = random;
    }

    /** Sets the share of requests for which no connection is made. */
    public void refusedShare(double share) {
        refusedShare = share;
    }

    /** Sets the share of requests that are lost before they are executed. */
    public void lostRequestShare(double share) {
        lostRequestShare = share;
    }

    /** Sets the share of requests whose answer is lost. */
    public void lostAnswerShare(double share) {
        lostAnswerShare = share;
    }

    /** Sets the share of transfers to and from the upstream that are delayed. */
    public void delayedShare(double share) {
        delayedShare = share;
    }

    /** Sends a request; {@code onOutcome} receives the outcome, and is never called if the request is lost. */
    void send(SimulatedRequest request, Consumer<Outcome> onOutcome) {
        if (random.nextDouble() < refusedShare) {
            time.schedule(0, () -> onOutcome.accept(new Outcome.NotRun()));
            return;
        }
        request.markSent();
        if (random.nextDouble() >= lostRequestShare) {
            time.schedule(randomDelayMillis(), () -> execute(request, onOutcome));
        }
    }

    private void execute(SimulatedRequest request, Consumer<Outcome> onOutcome) {
        Outcome answered = new Outcome.Answered(request.execute());
        if (random.nextDouble() < lostAnswerShare) {
            time.schedule(randomDelayMillis(), () -> onOutcome.accept(new Outcome.Unknown()));
        } else {
            time.schedule(randomDelayMillis(), () -> onOutcome.accept(answered));
        }
    }

    private long randomDelayMillis() {
        return random.nextDouble() < delayedShare ? random.nextLong(MAX_DELAY_MS) : random.nextLong(1, 20);
    }
}
