package org.cuminspur.router.internal.caller;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.cuminspur.config.ServiceKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.http.client.CallFault;
import org.cuminspur.http.client.Cancellation;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.client.HttpHeader;
import org.cuminspur.http.client.HttpResponseStream;
import org.cuminspur.http.client.LoadHeader;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.retry.AttemptEvent;
import org.cuminspur.routing.LoadReport;
import org.cuminspur.routing.Placement;
import org.cuminspur.routing.RoutingSnapshot;
import org.cuminspur.routing.UpstreamSet;
import org.cuminspur.routing.UpstreamView;
import org.cuminspur.time.Clock;

/**
 * Makes the attempts of one request at upstreams, one after the other.
 *
 * <p>Used by one worker thread. Each attempt counted as started at an upstream is counted as ended exactly once.
 */
final class UpstreamAttempt implements AutoCloseable {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    /** With this header and the value {@link #NOT_RUN}, an upstream guarantees that it did not run a refused request. */
    private static final String RUN_STATE = "Cuminspur-Run-State";

    private static final String NOT_RUN = "not-run";

    private final HttpClient http;
    private final Clock clock;
    private final MetricRegistry metrics;
    private final Supplier<RoutingSnapshot> snapshots;
    private final RoutedRequest routed;
    private final Cancellation cancellation;
    private final Set<UpstreamId> tried = new HashSet<>();
    private UpstreamView upstream;
    private HttpResponseStream stream;
    private Option<Long> incarnation = Option.none();
    private boolean inProgress;

    UpstreamAttempt(
            HttpClient http,
            Clock clock,
            MetricRegistry metrics,
            Supplier<RoutingSnapshot> snapshots,
            RoutedRequest routed,
            Cancellation cancellation) {
        this.http = http;
        this.clock = clock;
        this.metrics = metrics;
        this.snapshots = snapshots;
        this.routed = routed;
        this.cancellation = cancellation;
    }

    /** Returns the answer of the current attempt, null if none has started. */
    HttpResponseStream stream() {
        return stream;
    }

    /** Returns whether the request is for a model engine. */
    boolean isEngine() {
        UpstreamSet set = snapshots.get().upstreams().get(routed.route().service());
        return set != null && set.service().kind() == ServiceKind.ENGINE;
    }

    /** Sends the request to an upstream of the newest snapshot that has not been tried yet. */
    AttemptEvent send() {
        close();
        UpstreamSet set = snapshots.get().upstreams().get(routed.route().service());
        Optional<UpstreamView> placed =
                set == null ? Optional.empty() : Placement.place(set, routed.placementHash(), tried);
        if (placed.isEmpty()) {
            return new AttemptEvent.NoUpstream();
        }
        upstream = placed.get();
        inProgress = true;
        tried.add(upstream.id());
        return open(Stream.empty()).fold(this::onFault, this::onAnswer);
    }

    /** Resumes the event stream after an id; returns whether the same incarnation of the upstream continues it. */
    boolean resume(long lastEventId) {
        Option<Long> previousIncarnation = incarnation;
        close();
        if (previousIncarnation.isEmpty() || !upstream.tracker().tryStart(upstream.allowance())) {
            return false;
        }
        inProgress = true;
        Either<CallFault, HttpResponseStream> opened =
                open(Stream.of(new HttpHeader("Last-Event-ID", Long.toString(lastEventId))));
        opened.peek(this::onAnswer);
        return opened.isRight()
                && stream.status() == 200
                && EventStreams.isEventStream(stream.headers())
                && incarnation.equals(previousIncarnation);
    }

    /** Counts the attempt as ended, once. */
    void recordEnd(AttemptEvent event) {
        if (inProgress) {
            inProgress = false;
            boolean served = event instanceof AttemptEvent.AnswerCompleted && !isRefusal(stream);
            upstream.tracker().end(served || event instanceof AttemptEvent.CallerGone);
        }
    }

    @Override
    public void close() {
        recordEnd(new AttemptEvent.BrokenBeforeAnswer());
        if (stream != null) {
            stream.close();
            stream = null;
        }
    }

    private Either<CallFault, HttpResponseStream> open(Stream<HttpHeader> extraHeaders) {
        CallerRequest request = routed.request();
        HttpCall call = new HttpCall(
                request.method(),
                upstream.host(),
                upstream.port(),
                request.pathAndQuery(),
                Stream.concat(EndToEndHeaders.toUpstream(routed).stream(), extraHeaders)
                        .toList(),
                request.body(),
                !routed.route().idempotent());
        metrics.counter("upstream.attempts").inc();
        return http.open(call, Math.max(1, routed.deadlineMillis() - clock.millis()), cancellation);
    }

    private AttemptEvent onFault(CallFault fault) {
        AttemptEvent event = cancellation.cancelled() ? new AttemptEvent.CallerGone() : toEvent(fault);
        recordEnd(event);
        return event;
    }

    private AttemptEvent onAnswer(HttpResponseStream opened) {
        stream = opened;
        Option<LoadReport> report = LoadHeader.read(opened);
        report.peek(known -> upstream.tracker().recordReport(known, clock.millis()));
        incarnation = report.map(LoadReport::incarnation);
        if (isRefusal(opened)) {
            boolean notRun = opened.header(RUN_STATE).filter(NOT_RUN::equals).isPresent();
            return new AttemptEvent.Refused(notRun, retryAfterMillis(opened));
        }
        return new AttemptEvent.AnswerStarted();
    }

    private static boolean isRefusal(HttpResponseStream answer) {
        return answer.status() == UNAVAILABLE || answer.status() == TOO_MANY_REQUESTS;
    }

    private static long retryAfterMillis(HttpResponseStream opened) {
        return opened.header("Retry-After")
                .filter(text -> text.matches("\\d{1,6}"))
                .map(text -> Long.parseLong(text) * 1_000)
                .orElse(Refusal.DEFAULT_RETRY_AFTER_MS);
    }

    private static AttemptEvent toEvent(CallFault fault) {
        return switch (fault) {
            case NOT_SENT -> new AttemptEvent.NotConnected();
            case BROKEN -> new AttemptEvent.BrokenBeforeAnswer();
            case TIMED_OUT -> new AttemptEvent.TimedOutBeforeAnswer();
        };
    }
}
