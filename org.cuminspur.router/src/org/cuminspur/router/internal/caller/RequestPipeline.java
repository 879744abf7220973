package org.cuminspur.router.internal.caller;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cuminspur.admission.Admission;
import org.cuminspur.config.AccountSpec;
import org.cuminspur.config.Priority;
import org.cuminspur.config.RouteSpec;
import org.cuminspur.config.ServiceKind;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.id.IdempotencyKey;
import org.cuminspur.once.ActionId;
import org.cuminspur.once.IdempotencyLedger;
import org.cuminspur.routing.RoutingSnapshot;
import org.cuminspur.routing.UpstreamSet;
import org.cuminspur.slo.RequestObserver;
import org.cuminspur.time.Clock;

/**
 * Processes a request: authentication, routing, admission, idempotency ledger, upstream.
 *
 * <p>Thread-safe. Each call runs on a worker thread and returns when the answer is written.
 */
public final class RequestPipeline {
    /** Maximum time that the end of an answer is delayed until its outcome is recorded. */
    private static final long RECORD_TIMEOUT_MS = 1_500;

    private final Supplier<RoutingSnapshot> snapshots;
    private final Admission admission;
    private final IdempotencyLedger ledger;
    private final UpstreamCaller upstreams;
    private final Clock clock;
    private final RequestObserver observer;

    public RequestPipeline(
            Supplier<RoutingSnapshot> snapshots,
            Admission admission,
            IdempotencyLedger ledger,
            UpstreamCaller upstreams,
            Clock clock,
            RequestObserver observer) {
        this.snapshots = snapshots;
        this.admission = admission;
        this.ledger = ledger;
        this.upstreams = upstreams;
        this.clock = clock;
        this.observer = observer;
    }

    void serve(CallerRequest request, CallerAnswer answer) {
        RoutingSnapshot snapshot = snapshots.get();
        Either<Refusal, RoutedRequest> routed = route(snapshot, request);
        routed.peekLeft(answer::refuse);
        routed.peek(routedRequest -> serveAndObserve(snapshot, routedRequest, answer));
    }

    private Either<Refusal, RoutedRequest> route(RoutingSnapshot snapshot, CallerRequest request) {
        if (!snapshot.configured()) {
            return Either.left(Refusal.of(ErrorKind.NOT_READY));
        }
        return snapshot.routes()
                .account(request.accountKey())
                .flatMap(account -> snapshot.routes()
                        .route(account, request.method(), request.path(), request.model())
                        .map(route -> toRoutedRequest(request, account, route)))
                .filterOrElse(
                        routed -> hasValidBody(snapshot, routed),
                        routed -> Refusal.of(ErrorKind.BAD_REQUEST, "the body is not a JSON object"));
    }

    /** Engines accept only JSON objects; plain services accept any body. */
    private static boolean hasValidBody(RoutingSnapshot snapshot, RoutedRequest routed) {
        UpstreamSet set = snapshot.upstreams().get(routed.route().service());
        boolean engine = set != null && set.service().kind() == ServiceKind.ENGINE;
        CallerRequest request = routed.request();
        return !engine || request.body().length == 0 || request.json().isObject();
    }

    private RoutedRequest toRoutedRequest(CallerRequest request, AccountSpec account, RouteSpec route) {
        Priority priority = route.priority().compareTo(account.priority()) < 0 ? account.priority() : route.priority();
        long deadline = clock.millis() + route.deadlineMillis();
        return new RoutedRequest(request, account, route, PlacementHash.of(account, request), priority, deadline);
    }

    private void serveAndObserve(RoutingSnapshot snapshot, RoutedRequest routed, CallerAnswer answer) {
        RequestOutcomeRecorder recorder = new RequestOutcomeRecorder(clock);
        answer.recordTo(recorder);
        try {
            serveWithPermit(routed, answer);
        } finally {
            Option.of(snapshot.upstreams().get(routed.route().service()))
                    .flatMap(set -> recorder.outcome(routed, set.service().objective()))
                    .forEach(observer::observe);
        }
    }

    private void serveWithPermit(RoutedRequest routed, CallerAnswer answer) {
        answer.closeConnectionAfter(routed.deadlineMillis() - clock.millis());
        CompletableFuture<Either<Refusal, Admission.Permit>> reply = new CompletableFuture<>();
        admission.admit(
                new Admission.Request(routed.account(), routed.priority(), routed.deadlineMillis()), reply::complete);
        Either<Refusal, Admission.Permit> permit = reply.join();
        permit.peekLeft(answer::refuse);
        permit.peek(admitted -> {
            try {
                callUpstream(routed, answer);
            } finally {
                admitted.release();
            }
        });
    }

    private void callUpstream(RoutedRequest routed, CallerAnswer answer) {
        if (routed.route().idempotent()) {
            upstreams.call(snapshots, routed, answer);
        } else {
            callAtMostOnce(routed, answer);
        }
    }

    private void callAtMostOnce(RoutedRequest routed, CallerAnswer answer) {
        Optional<String> key = routed.request().header(routed.route().idempotencyHeader());
        if (key.filter(text -> !text.isBlank()).isEmpty()) {
            answer.refuse(Refusal.of(ErrorKind.KEY_MISSING, routed.route().idempotencyHeader()));
            return;
        }
        ActionId action = new ActionId(routed.account().id(), routed.route().id(), new IdempotencyKey(key.get()));
        CompletableFuture<IdempotencyLedger.Decision> reply = new CompletableFuture<>();
        ledger.tryClaim(action, RequestFingerprint.of(routed.request()), routed.deadlineMillis(), reply::complete);
        IdempotencyLedger.Decision decision = reply.join();
        if (decision instanceof IdempotencyLedger.Decision.Run run) {
            callAndRecord(run.claim(), routed, answer);
        } else if (decision instanceof IdempotencyLedger.Decision.Replay replay) {
            answer.replay(replay.answer());
        } else if (decision instanceof IdempotencyLedger.Decision.Refuse refuse) {
            answer.refuse(refuse.refusal());
        }
    }

    private void callAndRecord(IdempotencyLedger.Claim claim, RoutedRequest routed, CallerAnswer answer) {
        IdempotencyLedger.Outcome outcome = new IdempotencyLedger.Outcome.Unknown();
        CompletableFuture<Void> recorded = new CompletableFuture<>();
        try {
            outcome = upstreams.callAtMostOnce(snapshots, routed, answer);
        } finally {
            ledger.recordOutcome(claim, outcome, () -> recorded.complete(null));
        }
        // The answer ends when this returns: a repeat after a complete answer gets the same one from any router.
        Try.run(() -> recorded.get(RECORD_TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }
}
