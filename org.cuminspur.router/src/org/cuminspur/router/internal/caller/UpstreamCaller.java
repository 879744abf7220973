package org.cuminspur.router.internal.caller;

import com.codahale.metrics.MetricRegistry;
import java.util.function.Supplier;
import org.cuminspur.http.client.Cancellation;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.once.IdempotencyLedger.Outcome;
import org.cuminspur.retry.AttemptStateMachine;
import org.cuminspur.retry.RetryBudgets;
import org.cuminspur.retry.RetryConstraints;
import org.cuminspur.routing.RoutingSnapshot;
import org.cuminspur.time.Clock;

/**
 * Sends requests to upstreams and relays their answers.
 *
 * <p>Thread-safe. What is sent again, and when, is decided by {@link AttemptStateMachine}.
 */
public final class UpstreamCaller {
    private final HttpClient http;
    private final Clock clock;
    private final MetricRegistry metrics;
    private final RetryBudgets budgets = new RetryBudgets();

    public UpstreamCaller(HttpClient http, Clock clock, MetricRegistry metrics) {
        this.http = http;
        this.clock = clock;
        this.metrics = metrics;
    }

    /** Serves a request that may be sent again; it is cancelled when its caller goes away. */
    void call(Supplier<RoutingSnapshot> snapshots, RoutedRequest routed, CallerAnswer answer) {
        run(snapshots, routed, answer, answer.cancellation());
    }

    /**
     * Serves a request that must not run twice and returns how it ended.
     *
     * <p>Goes on when its caller goes away, since the answer is then kept for the repeat.
     */
    Outcome callOnce(Supplier<RoutingSnapshot> snapshots, RoutedRequest routed, CallerAnswer answer) {
        return run(snapshots, routed, answer, new Cancellation());
    }

    private Outcome run(
            Supplier<RoutingSnapshot> snapshots, RoutedRequest routed, CallerAnswer answer, Cancellation cancellation) {
        RetryConstraints constraints = new RetryConstraints(routed.route().idempotent(), routed.deadlineMillis());
        AttemptStateMachine attempts = new AttemptStateMachine(
                constraints, budgets.forAccount(routed.account().id()), clock);
        AnswerRelay relay = new AnswerRelay(routed, answer, clock, cancellation);
        UpstreamAttempt attempt = new UpstreamAttempt(http, clock, metrics, snapshots, routed, cancellation);
        return new RequestExecution(attempts, attempt, relay, answer, cancellation, metrics).run();
    }
}
