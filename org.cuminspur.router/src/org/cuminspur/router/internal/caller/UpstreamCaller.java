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
 * <p>Thread-safe. {@link AttemptStateMachine} decides whether and when a request is retried.
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

    /** Serves an idempotent request; cancelled when the caller disconnects. */
    void call(Supplier<RoutingSnapshot> snapshots, RoutedRequest routed, CallerAnswer answer) {
        execute(snapshots, routed, answer, answer.cancellation());
    }

    /**
     * Serves a request that must run at most once and returns its outcome.
     *
     * <p>Continues after the caller disconnects, since the answer is stored for a repeated request.
     */
    Outcome callAtMostOnce(Supplier<RoutingSnapshot> snapshots, RoutedRequest routed, CallerAnswer answer) {
        return execute(snapshots, routed, answer, new Cancellation());
    }

    private Outcome execute(
            Supplier<RoutingSnapshot> snapshots, RoutedRequest routed, CallerAnswer answer, Cancellation cancellation) {
        RetryConstraints constraints = new RetryConstraints(routed.route().idempotent(), routed.deadlineMillis());
        AttemptStateMachine attempts = new AttemptStateMachine(
                constraints, budgets.forAccount(routed.account().id()), clock);
        AnswerRelay relay = new AnswerRelay(routed, answer, clock, cancellation, metrics);
        UpstreamAttempt attempt = new UpstreamAttempt(http, clock, metrics, snapshots, routed, cancellation);
        return new RequestExecution(attempts, attempt, relay, answer, cancellation, metrics).run();
    }
}
