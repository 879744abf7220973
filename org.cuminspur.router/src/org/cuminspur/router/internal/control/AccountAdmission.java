package org.cuminspur.router.internal.control;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminspur.admission.AccountLimiters;
import org.cuminspur.admission.Admission;
import org.cuminspur.admission.FairAdmission;
import org.cuminspur.time.Clock;

/** Creates fair admission with its timer thread and its metrics; stateless and thread-safe. */
public final class AccountAdmission {
    private AccountAdmission() {}

    /** Starts admission for a number of worker threads; its timer thread is a daemon. */
    public static Admission start(int threads, AccountLimiters accounts, Clock clock, MetricRegistry metrics) {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "admission-timer");
            thread.setDaemon(true);
            return thread;
        });
        FairAdmission.Capacity capacity = FairAdmission.Capacity.forThreads(threads);
        FairAdmission admission = new FairAdmission(
                capacity, accounts, clock, (millis, action) -> timer.schedule(action, millis, TimeUnit.MILLISECONDS));
        metrics.register("admission.running", (Gauge<Integer>) admission::runningCount);
        metrics.register("admission.waiting", (Gauge<Integer>) admission::waitingCount);
        metrics.register("admission.slots", (Gauge<Integer>) capacity::slots);
        return admission;
    }
}
