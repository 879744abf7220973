package org.cuminspur.router.internal.traffic;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.Optional;
import org.cuminspur.id.ServiceId;
import org.cuminspur.router.internal.caller.EventStreams;
import org.cuminspur.traffic.ClientAccount;
import org.cuminspur.traffic.HostRoute;
import org.cuminspur.traffic.RequestKind;

/**
 * A request with its route, account, service, priority and deadline; immutable.
 *
 * @param revision revision of the configuration that it was routed by
 * @param service the one of the route's services that is to serve it
 * @param priority rank among all requests, 0 is the most urgent
 * @param aimMillis when its response is to begin, as promised to callers
 * @param deadlineMillis when its response must be complete
 */
record RoutedCall(
        HostRoute route,
        long revision,
        Optional<ClientAccount> account,
        ServiceId service,
        int priority,
        long aimMillis,
        long deadlineMillis) {
    /** Least time in which a response can arrive; with less, a request is not worth an upstream's slot. */
    private static final long MIN_LEFT_MS = 30;

    /** Returns whether a response to a request that is sent now can arrive before the deadline. */
    boolean leavesTimeToSend(long nowMillis) {
        return deadlineMillis - nowMillis >= MIN_LEFT_MS;
    }

    /** Returns this request for another service of its route. */
    RoutedCall withService(ServiceId other) {
        return new RoutedCall(route, revision, account, other, priority, aimMillis, deadlineMillis);
    }

    /** Returns whether it was authenticated by a key. */
    boolean authenticated() {
        return account.isPresent();
    }

    /** Returns whether a successful response is a stream of events: by its type or, if it states none, by its route. */
    boolean isEventStream(HeaderMap responseHeaders) {
        String contentType = responseHeaders.getFirst(Headers.CONTENT_TYPE);
        return contentType == null ? route.kind() == RequestKind.STREAM : EventStreams.isEventStream(contentType);
    }
}
