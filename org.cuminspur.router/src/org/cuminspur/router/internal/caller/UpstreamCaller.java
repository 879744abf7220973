package org.cuminspur.router.internal.caller;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.cuminspur.config.Priority;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.http.client.CallFault;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.client.HttpHeader;
import org.cuminspur.http.client.HttpStream;
import org.cuminspur.http.client.LoadHeader;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.once.ActionLedger.Outcome;
import org.cuminspur.once.StoredAnswer;
import org.cuminspur.routing.Placement;
import org.cuminspur.routing.RoutingSnapshot;
import org.cuminspur.routing.UpstreamSet;
import org.cuminspur.routing.UpstreamView;
import org.cuminspur.time.Clock;

/**
 * Sends requests to upstreams and relays their answers.
 *
 * <p>Thread-safe. A request is sent again only if no byte of it reached an upstream, or if its route is idempotent and
 * no byte of an answer reached the caller.
 */
public final class UpstreamCaller {
    private static final int MAX_ATTEMPTS = 3;
    private static final Set<String> HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "transfer-encoding",
            "te",
            "trailer",
            "upgrade",
            "host",
            "content-length",
            "proxy-authorization",
            "proxy-authenticate",
            "authorization",
            "expect",
            "priority");

    private final HttpClient http;
    private final Clock clock;
    private final MetricRegistry metrics;

    public UpstreamCaller(HttpClient http, Clock clock, MetricRegistry metrics) {
        this.http = http;
        this.clock = clock;
        this.metrics = metrics;
    }

    /** Serves a request that may be sent again. */
    void call(RoutingSnapshot snapshot, RoutedRequest routed, CallerAnswer answer) {
        Set<UpstreamId> failed = new HashSet<>();
        Refusal last = Refusal.of(ErrorKind.NO_UPSTREAM);
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            Optional<UpstreamView> placed = place(snapshot, routed, failed);
            if (placed.isEmpty()) {
                break;
            }
            Either<Refusal, HttpStream> opened = open(placed.get(), routed, false);
            if (opened.isRight()) {
                relay(placed.get(), opened.get(), routed, answer);
                return;
            }
            placed.get().gauge().end(false);
            failed.add(placed.get().id());
            last = opened.getLeft();
        }
        answer.refuse(last);
    }

    /** Serves a request that must not be sent again and returns how it ended. */
    Outcome callOnce(RoutingSnapshot snapshot, RoutedRequest routed, CallerAnswer answer) {
        Optional<UpstreamView> placed = place(snapshot, routed, Set.of());
        if (placed.isEmpty()) {
            answer.refuse(Refusal.of(ErrorKind.NO_UPSTREAM));
            return new Outcome.NotSent();
        }
        Either<Refusal, HttpStream> opened = open(placed.get(), routed, true);
        if (opened.isLeft()) {
            placed.get().gauge().end(false);
            answer.refuse(opened.getLeft());
            return opened.getLeft().kind() == ErrorKind.UPSTREAM_UNREACHABLE
                    ? new Outcome.NotSent()
                    : new Outcome.Unknown();
        }
        return relayKept(placed.get(), opened.get(), routed, answer);
    }

    private static Optional<UpstreamView> place(
            RoutingSnapshot snapshot, RoutedRequest routed, Set<UpstreamId> failed) {
        UpstreamSet set = snapshot.upstreams().get(routed.route().service());
        return set == null ? Optional.empty() : Placement.place(set, routed.chat(), failed);
    }

    private Either<Refusal, HttpStream> open(UpstreamView upstream, RoutedRequest routed, boolean once) {
        CallerRequest request = routed.request();
        HttpCall call = new HttpCall(
                request.method(),
                upstream.host(),
                upstream.port(),
                request.pathAndQuery(),
                headers(routed),
                request.body(),
                once);
        metrics.counter("upstream.attempts").inc();
        Either<CallFault, HttpStream> opened = http.open(call, left(routed));
        opened.peek(stream ->
                LoadHeader.read(stream).forEach(report -> upstream.gauge().report(report, clock.millis())));
        return opened.mapLeft(UpstreamCaller::refusal);
    }

    private void relay(UpstreamView upstream, HttpStream stream, RoutedRequest routed, CallerAnswer answer) {
        boolean whole = false;
        try (stream) {
            answer.begin(stream.status(), endToEnd(stream.headers()));
            whole = copy(stream, routed, answer, new ByteArrayOutputStream(0), 0);
        } finally {
            upstream.gauge().end(whole);
        }
    }

    private Outcome relayKept(UpstreamView upstream, HttpStream stream, RoutedRequest routed, CallerAnswer answer) {
        ByteArrayOutputStream kept = new ByteArrayOutputStream();
        boolean whole = false;
        try (stream) {
            answer.begin(stream.status(), endToEnd(stream.headers()));
            whole = copy(stream, routed, answer, kept, Integer.MAX_VALUE);
        } finally {
            upstream.gauge().end(whole);
        }
        String type = stream.header("Content-Type").orElse("");
        String body = kept.toString(StandardCharsets.UTF_8);
        return whole ? new Outcome.Answered(new StoredAnswer(stream.status(), type, body)) : new Outcome.Unknown();
    }

    private boolean copy(
            HttpStream stream, RoutedRequest routed, CallerAnswer answer, ByteArrayOutputStream kept, int keepBytes) {
        while (true) {
            Either<CallFault, byte[]> piece = stream.next(left(routed));
            if (piece.isLeft()) {
                answer.refuse(refusal(piece.getLeft()));
                return false;
            }
            if (piece.get().length == 0) {
                return true;
            }
            if (kept.size() + piece.get().length <= keepBytes) {
                kept.writeBytes(piece.get());
            }
            try {
                answer.write(piece.get());
            } catch (IOException e) {
                metrics.counter("callers.gone").inc();
                return false;
            }
        }
    }

    private long left(RoutedRequest routed) {
        return Math.max(1, routed.deadlineMillis() - clock.millis());
    }

    private static List<HttpHeader> headers(RoutedRequest routed) {
        Stream<HttpHeader> own = Stream.of(
                new HttpHeader("Priority", urgency(routed.priority())),
                new HttpHeader("Cuminspur-Account", routed.account().id().value()));
        return Stream.concat(endToEnd(routed.request().headers()).stream(), own).toList();
    }

    private static String urgency(Priority priority) {
        return switch (priority) {
            case HIGH -> "u=1";
            case NORMAL -> "u=3";
            case LOW -> "u=5";
        };
    }

    private static List<HttpHeader> endToEnd(List<HttpHeader> headers) {
        return headers.stream()
                .filter(header -> !HOP_HEADERS.contains(header.name().toLowerCase(Locale.ROOT)))
                .filter(header -> !header.name().equalsIgnoreCase(LoadHeader.NAME))
                .toList();
    }

    private static Refusal refusal(CallFault fault) {
        return switch (fault) {
            case NOT_SENT -> Refusal.of(ErrorKind.UPSTREAM_UNREACHABLE);
            case BROKEN -> Refusal.of(ErrorKind.UPSTREAM_BROKE);
            case TIMED_OUT -> Refusal.of(ErrorKind.DEADLINE_AFTER_SEND);
        };
    }
}
