package org.cuminspur.testing.once;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cuminspur.once.IdempotencyLedger.Outcome;
import org.cuminspur.testing.VirtualTime;

/**
 * An upstream that executes whatever reaches it and may lose, refuse or delay it.
 *
 * <p>Used by one thread. Shares are from 0 to 1 and are drawn for each request.
 */
public final class OnceUpstream {
    private static final long MAX_LATE_MS = 30_000;

    private final VirtualTime time;
    private final RandomGenerator random;
    private double refusedShare;
    private double lostRequestShare;
    private double lostAnswerShare;
    private double lateShare;

    OnceUpstream(VirtualTime time, RandomGenerator random) {
        this.time = time;
        this.random = random;
    }

    /** Sets the share of requests to which no connection is made. */
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

    /** Sets the share of requests that are executed or answered late. */
    public void lateShare(double share) {
        lateShare = share;
    }

    /** Sends a request; {@code done} takes how it ended, never if nothing comes back. */
    void send(OnceRequest request, Consumer<Outcome> done) {
        if (random.nextDouble() < refusedShare) {
            time.after(0, () -> done.accept(new Outcome.NotRun()));
            return;
        }
        request.sending();
        if (random.nextDouble() >= lostRequestShare) {
            time.after(way(), () -> execute(request, done));
        }
    }

    private void execute(OnceRequest request, Consumer<Outcome> done) {
        Outcome answered = new Outcome.Answered(request.execute());
        if (random.nextDouble() < lostAnswerShare) {
            time.after(way(), () -> done.accept(new Outcome.Unknown()));
        } else {
            time.after(way(), () -> done.accept(answered));
        }
    }

    private long way() {
        return random.nextDouble() < lateShare ? random.nextLong(MAX_LATE_MS) : random.nextLong(1, 20);
    }
}
