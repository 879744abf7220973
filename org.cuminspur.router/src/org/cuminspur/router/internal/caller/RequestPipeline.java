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
 * Takes a request through its steps: account, route, admission, ledger, upstream.
 *
 * <p>Thread-safe. Each call runs on a worker thread and returns when the answer is written.
 */
public final class RequestPipeline {
    /** The longest that the end of an answer waits for its record. */
    private static final long RECORD_WAIT_MS = 1_500;

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
        routed.peek(known -> observed(snapshot, known, answer));
    }

    private Either<Refusal, RoutedRequest> route(RoutingSnapshot snapshot, CallerRequest request) {
        if (!snapshot.configured()) {
            return Either.left(Refusal.of(ErrorKind.NOT_READY));
        }
        return snapshot.routes()
                .account(request.accountKey())
                .flatMap(account -> snapshot.routes()
                        .route(account, request.method(), request.path(), request.model())
                        .map(route -> routed(request, account, route)))
                .filterOrElse(
                        routed -> wellFormed(snapshot, routed),
                        routed -> Refusal.of(ErrorKind.BAD_REQUEST, "the body is not a JSON object"));
    }

    /** Engines read their requests as JSON; plain services get any body. */
    private static boolean wellFormed(RoutingSnapshot snapshot, RoutedRequest routed) {
        UpstreamSet set = snapshot.upstreams().get(routed.route().service());
        boolean engine = set != null && set.service().kind() == ServiceKind.ENGINE;
        CallerRequest request = routed.request();
        return !engine || request.body().length == 0 || request.json().isObject();
    }

    private RoutedRequest routed(CallerRequest request, AccountSpec account, RouteSpec route) {
        Priority priority = route.priority().compareTo(account.priority()) < 0 ? account.priority() : route.priority();
        long deadline = clock.millis() + route.deadlineMillis();
        return new RoutedRequest(request, account, route, PlacementHash.of(account, request), priority, deadline);
    }

    private void observed(RoutingSnapshot snapshot, RoutedRequest routed, CallerAnswer answer) {
        RequestOutcomeRecorder times = new RequestOutcomeRecorder(clock);
        answer.recordTo(times);
        try {
            admitted(routed, answer);
        } finally {
            Option.of(snapshot.upstreams().get(routed.route().service()))
                    .flatMap(set -> times.outcome(routed, set.service().objective()))
                    .forEach(observer::observe);
        }
    }

    private void admitted(RoutedRequest routed, CallerAnswer answer) {
        answer.closeConnectionAfter(routed.deadlineMillis() - clock.millis());
        CompletableFuture<Either<Refusal, Admission.Permit>> reply = new CompletableFuture<>();
        admission.admit(
                new Admission.Request(routed.account(), routed.priority(), routed.deadlineMillis()), reply::complete);
        Either<Refusal, Admission.Permit> permit = reply.join();
        permit.peekLeft(answer::refuse);
        permit.peek(held -> {
            try {
                run(routed, answer);
            } finally {
                held.release();
            }
        });
    }

    private void run(RoutedRequest routed, CallerAnswer answer) {
        if (routed.route().idempotent()) {
            upstreams.call(snapshots, routed, answer);
        } else {
            runOnce(routed, answer);
        }
    }

    private void runOnce(RoutedRequest routed, CallerAnswer answer) {
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
            send(run.claim(), routed, answer);
        } else if (decision instanceof IdempotencyLedger.Decision.Replay repeat) {
            answer.replay(repeat.answer());
        } else if (decision instanceof IdempotencyLedger.Decision.Refuse refuse) {
            answer.refuse(refuse.refusal());
        }
    }

    private void send(IdempotencyLedger.Claim claim, RoutedRequest routed, CallerAnswer answer) {
        IdempotencyLedger.Outcome outcome = new IdempotencyLedger.Outcome.Unknown();
        CompletableFuture<Void> recorded = new CompletableFuture<>();
        try {
            outcome = upstreams.callOnce(snapshots, routed, answer);
        } finally {
            ledger.recordOutcome(claim, outcome, () -> recorded.complete(null));
        }
        // The answer ends when this returns: a caller that has it whole gets it again from any router.
        Try.run(() -> recorded.get(RECORD_WAIT_MS, TimeUnit.MILLISECONDS));
    }
}
