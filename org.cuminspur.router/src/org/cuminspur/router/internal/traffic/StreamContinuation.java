package org.cuminspur.router.internal.traffic;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.StreamId;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.HostRoute;
import org.cuminspur.traffic.RequestMetadata;
import org.cuminspur.traffic.StreamOrigin;
import org.cuminspur.traffic.UpstreamState;

/**
 * The software version at which a request's stream may go on; used on the traffic thread.
 *
 * <p>Until an event is delivered any version may serve a new stream. From then on, also over the caller's further
 * requests, only the version that delivered it may.
 */
final class StreamContinuation {
    private final TrafficContext context;
    private final RequestMetadata call;
    private final StreamId stream;
    private Optional<SoftwareVersion> version = Optional.empty();
    private boolean certain = true;

    StreamContinuation(TrafficContext context, RequestMetadata call) {
        this.context = context;
        this.call = call;
        this.stream = StreamId.ofRequest(
                call.lastEventId().flatMap(after -> call.resumes()).orElse(call.requestId()));
    }

    /** Returns the only version that may take the next attempt, empty if any may. */
    Optional<SoftwareVersion> version() {
        return version;
    }

    /** Returns whether it is certain which version delivered events, so that the stream may go on. */
    boolean certain() {
        return certain;
    }

    /**
     * Binds a request that resumes a stream to the service and version that began it.
     *
     * @param arrivedMillis when the request came, by the steady clock
     * @param result receives the request, or its refusal if neither is known
     */
    void bind(RoutedCall routed, long arrivedMillis, Consumer<Either<Refusal, RoutedCall>> result) {
        if (!routed.route().resumable() || call.lastEventId().isEmpty()) {
            result.accept(Either.right(routed));
            return;
        }
        context.streamOrigins()
                .find(
                        stream,
                        origin -> origin.ifPresentOrElse(
                                known -> bind(routed, Optional.of(known), "known", result),
                                () -> bindToOnlyOrigin(routed, arrivedMillis, result)));
    }

    /**
     * Binds a stream that nobody remembers. That only one version can have begun it is a conclusion from what the view does
     * not show, and so holds only if the view had all that the store held when the request came.
     */
    private void bindToOnlyOrigin(RoutedCall routed, long arrivedMillis, Consumer<Either<Refusal, RoutedCall>> result) {
        context.confirmations()
                .whenConfirmedSince(
                        arrivedMillis,
                        confirmed -> bind(
                                routed, confirmed ? onlyOrigin(routed) : Optional.empty(), "only-version", result));
    }

    private void bind(
            RoutedCall routed, Optional<StreamOrigin> known, String how, Consumer<Either<Refusal, RoutedCall>> result) {
        version = known.map(StreamOrigin::version);
        context.metrics()
                .counter("streams.resumed." + (known.isPresent() ? how : "unknown"))
                .inc();
        result.accept(known.filter(found -> serves(routed.route(), found.service()))
                .<Either<Refusal, RoutedCall>>map(found -> Either.right(routed.withService(found.service())))
                .orElseGet(() -> Either.left(Refusal.of(ErrorKind.STREAM_UNKNOWN))));
    }

    /** Records that an upstream's events are about to be delivered to the caller. */
    void delivering(UpstreamState upstream, RoutedCall routed) {
        if (version.isPresent()) {
            return;
        }
        SoftwareVersion delivered = upstream.entry().version();
        version = Optional.of(delivered);
        certain = isCertain(upstream, routed.service());
        if (certain) {
            long retentionMillis = routed.deadlineMillis() - context.clock().millis() + FleetView.RESUME_MARGIN_MS;
            context.streamOrigins()
                    .record(stream, new StreamOrigin(routed.service(), delivered), Math.max(0, retentionMillis));
        }
    }

    /** Returns whether an upstream's entry surely is that of the process which took the request. */
    private boolean isCertain(UpstreamState upstream, ServiceId service) {
        boolean replaced = context.upstreams()
                .find(upstream.id())
                .filter(current -> !current.equals(upstream))
                .isPresent();
        boolean mayHaveRestarted = upstream.mayHaveRestarted(context.clock().millis());
        boolean oneVersion = !context.confirmations().nearlyStale()
                && context.streamOrigins().onlyVersion(service).isPresent();
        return !replaced && (!mayHaveRestarted || oneVersion);
    }

    /** Returns the only origin that a stream of the route can have. */
    private Optional<StreamOrigin> onlyOrigin(RoutedCall routed) {
        return routed.route().weightedServices().size() > 1
                ? Optional.empty()
                : context.streamOrigins()
                        .onlyVersion(routed.service())
                        .map(only -> new StreamOrigin(routed.service(), only));
    }

    private static boolean serves(HostRoute route, ServiceId service) {
        return route.weightedServices().stream()
                .anyMatch(weighted -> weighted.service().equals(service));
    }
}
