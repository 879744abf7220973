package org.cuminspur.router.internal.traffic;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.Optional;
import java.util.stream.Stream;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.id.UpstreamId;

/**
 * The headers by which instances send each other requests of callers; stateless and thread-safe.
 *
 * <p>A request states how many upstreams may run it. A response states the upstream that it is of, or why there is none.
 */
final class PeerHeaders {
    /** Upstreams that may run the request. */
    private static final HttpString RUNS = new HttpString("Cuminspur-Runs");

    /** Kind of a refusal. */
    private static final HttpString ERROR = new HttpString("Cuminspur-Error");

    private static final HttpString RETRY_AFTER_MILLIS = new HttpString("Cuminspur-Retry-After-Ms");
    private static final HttpString UPSTREAM = new HttpString("Cuminspur-Upstream");

    private PeerHeaders() {}

    static void putRuns(HeaderMap request, int runs) {
        request.put(RUNS, runs);
    }

    /** Removes and returns the number of upstreams that may run a request, empty if it states none. */
    static Optional<Integer> takeRuns(HeaderMap request) {
        Optional<Integer> runs = Optional.ofNullable(request.getFirst(RUNS))
                .filter(text -> text.matches("[1-9]"))
                .map(Integer::valueOf);
        request.remove(RUNS);
        return runs;
    }

    static void putRefusal(HeaderMap response, Refusal refusal) {
        response.put(ERROR, refusal.kind().label());
        response.put(RETRY_AFTER_MILLIS, refusal.retryAfterMillis());
    }

    static void putUpstream(HeaderMap response, UpstreamId upstream) {
        clear(response);
        response.put(UPSTREAM, upstream.value());
    }

    /** Returns the refusal that a response states; one of an unknown kind may have run. */
    static Optional<Refusal> refusal(HeaderMap response) {
        return Optional.ofNullable(response.getFirst(ERROR)).map(label -> {
            ErrorKind kind = Stream.of(ErrorKind.values())
                    .filter(known -> known.label().equals(label))
                    .findFirst()
                    .orElse(ErrorKind.INTERNAL);
            String millis = response.getFirst(RETRY_AFTER_MILLIS);
            return millis != null && millis.matches("\\d{1,9}")
                    ? new Refusal(kind, "", Long.parseLong(millis))
                    : Refusal.of(kind);
        });
    }

    static Optional<UpstreamId> upstream(HeaderMap response) {
        return Optional.ofNullable(response.getFirst(UPSTREAM))
                .filter(id -> !id.isBlank())
                .map(UpstreamId::new);
    }

    /** Removes all of these headers from a response. */
    static void clear(HeaderMap response) {
        Stream.of(ERROR, RETRY_AFTER_MILLIS, UPSTREAM).forEach(response::remove);
    }
}
