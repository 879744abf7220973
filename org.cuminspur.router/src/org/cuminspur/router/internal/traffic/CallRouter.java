package org.cuminspur.router.internal.traffic;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.DoubleSupplier;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.id.ServiceId;
import org.cuminspur.traffic.ClientAccount;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.HostRoute;
import org.cuminspur.traffic.HostRouteTable;
import org.cuminspur.traffic.RequestMetadata;
import org.cuminspur.traffic.WeightedService;

/** Finds the route, account and service of a request; used on the traffic thread. */
final class CallRouter {
    /** Time to wait for a response where the caller states no limit. */
    private static final long DEFAULT_CALLER_TIMEOUT_MS = 600_000;

    private final DoubleSupplier random;

    /**
     * Creates a router.
     *
     * @param random uniform in [0, 1); selects the service of a route that several share
     */
    CallRouter(DoubleSupplier random) {
        this.random = random;
    }

    /** Returns the request with its route, account, service, priority and deadline, or its refusal. */
    Either<Refusal, RoutedCall> route(
            FleetView view, HttpServerExchange exchange, RequestMetadata call, long arrivedMillis) {
        if (view.routes().isEmpty()) {
            return Either.left(Refusal.of(ErrorKind.NOT_READY));
        }
        HostRouteTable table = view.routes().get();
        String host = Optional.ofNullable(exchange.getRequestHeaders().getFirst(Headers.HOST))
                .orElse("");
        return Option.ofOptional(table.route(host, exchange.getRequestURI()))
                .toEither(() -> Refusal.of(ErrorKind.NO_ROUTE))
                .flatMap(route ->
                        account(table, route, call).map(account -> routed(table, route, account, call, arrivedMillis)));
    }

    private static Either<Refusal, Optional<ClientAccount>> account(
            HostRouteTable table, HostRoute route, RequestMetadata call) {
        if (route.authExempt() || !table.config().keysRequired()) {
            return Either.right(Optional.empty());
        }
        Optional<ClientAccount> account =
                call.apiKey().map(key -> table.config().accountsByKey().get(key));
        return account.isPresent() ? Either.right(account) : Either.left(Refusal.of(ErrorKind.UNAUTHENTICATED));
    }

    private RoutedCall routed(
            HostRouteTable table,
            HostRoute route,
            Optional<ClientAccount> account,
            RequestMetadata call,
            long arrived) {
        OptionalInt accountPriority = account.map(ClientAccount::priority).orElse(OptionalInt.empty());
        long allowedMillis =
                Math.min(route.timeoutMillis(), call.callerTimeoutMillis().orElse(DEFAULT_CALLER_TIMEOUT_MS));
        return new RoutedCall(
                route,
                table.config().revision().value(),
                account,
                service(route.weightedServices()),
                accountPriority.orElse(route.priority()),
                arrived + Math.min(route.targetLatencyMillis(), allowedMillis),
                arrived + allowedMillis);
    }

    private ServiceId service(List<WeightedService> services) {
        double drawn = random.getAsDouble()
                * services.stream().mapToInt(WeightedService::weight).sum();
        for (WeightedService candidate : services) {
            drawn -= candidate.weight();
            if (drawn < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
