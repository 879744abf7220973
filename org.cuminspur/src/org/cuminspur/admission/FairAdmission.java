package org.cuminspur.admission;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.time.Clock;

/**
 * Admits requests within the accounts' limits, and shares a number of slots fairly between those that wait.
 *
 * <p>Thread-safe; replies are given outside the lock. A request waits no longer than the maximum wait. It is refused at
 * once if it is over its account's limit, or if its expected wait reaches that maximum or its deadline. When the queue
 * is full, the last request of the account with the most waiting is refused. Refused requests have not run.
 */
public final class FairAdmission implements Admission {
    private static final double HELD_TIME_SMOOTHING = 1.0 / 32;

    /**
     * Bounds on running and waiting requests; immutable.
     *
     * @param slots requests that may run at the same time
     * @param maxWaiting requests that may wait
     * @param maxWaitMillis the longest wait
     */
    public record Capacity(int slots, int maxWaiting, long maxWaitMillis) {
        private static final int WAITING_DIVISOR = 4;
        private static final long MAX_WAIT_MS = 1_000;

        /** Returns the capacity of a number of worker threads, of which a few stay free to refuse requests. */
        public static Capacity forThreads(int threads) {
            int waiting = threads / WAITING_DIVISOR;
            int free = Math.max(1, waiting / WAITING_DIVISOR);
            return new Capacity(Math.max(1, threads - waiting - free), waiting, MAX_WAIT_MS);
        }
    }

    /** Runs actions later; thread-safe. */
    @FunctionalInterface
    public interface Timer {
        /** Runs an action after a time. */
        void after(long millis, Runnable action);
    }

    private record Waiting(Request request, AccountLimiter limiter, Consumer<Either<Refusal, Permit>> reply) {}

    private final Capacity capacity;
    private final AccountLimiters limiters;
    private final Clock clock;
    private final Timer timer;
    private final Object lock = new Object();
    private final FairQueue<Waiting> queue = new FairQueue<>();
    private int runningCount;
    private double meanHeldMillis;

    public FairAdmission(Capacity capacity, AccountLimiters limiters, Clock clock, Timer timer) {
        this.capacity = capacity;
        this.limiters = limiters;
        this.clock = clock;
        this.timer = timer;
    }

    @Override
    public void admit(Request request, Consumer<Either<Refusal, Permit>> reply) {
        long now = clock.millis();
        AccountLimiter limiter = limiters.forAccount(request.account(), now);
        long retryAfter = limiter.tryStart(request.account(), now);
        if (retryAfter > 0) {
            reply.accept(Either.left(new Refusal(ErrorKind.ACCOUNT_LIMIT, "", retryAfter)));
            return;
        }
        List<Runnable> replies = new ArrayList<>();
        synchronized (lock) {
            enqueue(new Waiting(request, limiter, reply), now, replies);
            startNext(replies);
        }
        replies.forEach(Runnable::run);
    }

    /** Returns the number of waiting requests. */
    public int waitingCount() {
        synchronized (lock) {
            return queue.size();
        }
    }

    /** Returns the number of running requests. */
    public int runningCount() {
        synchronized (lock) {
            return runningCount;
        }
    }

    private void enqueue(Waiting waiting, long now, List<Runnable> replies) {
        FairQueue.Flow flow = new FairQueue.Flow(
                waiting.request().account().id(), waiting.request().priority());
        FairQueue.Entry<Waiting> entry = queue.add(flow, waiting.limiter().meanHeldMillis(), waiting);
        if (runningCount < capacity.slots()) {
            return;
        }
        long remainingMillis =
                Math.min(capacity.maxWaitMillis(), waiting.request().deadlineMillis() - now);
        if (expectedWaitMillis(entry) >= remainingMillis) {
            queue.remove(entry);
            refuse(entry, replies);
            return;
        }
        if (queue.size() > capacity.maxWaiting()) {
            FairQueue.Entry<Waiting> removed = queue.removeLastOfBusiestAccount();
            refuse(removed, replies);
            if (removed == entry) {
                return;
            }
        }
        timer.after(remainingMillis, () -> expire(entry));
    }

    private void expire(FairQueue.Entry<Waiting> entry) {
        List<Runnable> replies = new ArrayList<>();
        synchronized (lock) {
            if (queue.remove(entry)) {
                refuse(entry, replies);
            }
        }
        replies.forEach(Runnable::run);
    }

    private void startNext(List<Runnable> replies) {
        while (runningCount < capacity.slots() && queue.size() > 0) {
            Waiting next = queue.poll().item();
            runningCount++;
            Permit permit = permit(next.limiter(), clock.millis());
            replies.add(() -> next.reply().accept(Either.right(permit)));
        }
    }

    private Permit permit(AccountLimiter limiter, long startMillis) {
        AtomicBoolean released = new AtomicBoolean();
        return () -> {
            if (released.compareAndSet(false, true)) {
                release(limiter, clock.millis() - startMillis);
            }
        };
    }

    private void release(AccountLimiter limiter, long heldMillis) {
        limiter.end(heldMillis);
        List<Runnable> replies = new ArrayList<>();
        synchronized (lock) {
            meanHeldMillis = meanHeldMillis == 0
                    ? heldMillis
                    : meanHeldMillis + (heldMillis - meanHeldMillis) * HELD_TIME_SMOOTHING;
            runningCount--;
            startNext(replies);
        }
        replies.forEach(Runnable::run);
    }

    private void refuse(FairQueue.Entry<Waiting> entry, List<Runnable> replies) {
        Waiting waiting = entry.item();
        waiting.limiter().cancel();
        Refusal refusal = new Refusal(ErrorKind.OVERLOADED, "", (long) expectedWaitMillis(entry));
        replies.add(() -> waiting.reply().accept(Either.left(refusal)));
    }

    private double expectedWaitMillis(FairQueue.Entry<Waiting> entry) {
        return (queue.countAhead(entry) + 1) * meanHeldMillis / capacity.slots();
    }
}
