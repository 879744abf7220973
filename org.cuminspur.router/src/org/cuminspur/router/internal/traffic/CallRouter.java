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
    /** The most that an answer is waited for where a caller names no limit of its own. */
    private static final long LONGEST_PATIENCE_MS = 600_000;

    private final DoubleSupplier random;

    /**
     * Makes a router.
     *
     * @param random uniform from 0 to 1, draws the service of a route that is shared by several
     */
    CallRouter(DoubleSupplier random) {
        this.random = random;
    }

    /** Returns the request with what the configuration says of it, or why it is refused. */
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
        OptionalInt ofAccount = account.map(ClientAccount::priority).orElse(OptionalInt.empty());
        long patience =
                Math.min(route.timeoutMillis(), call.callerTimeoutMillis().orElse(LONGEST_PATIENCE_MS));
        return new RoutedCall(
                route,
                table.config().revision().value(),
                account,
                service(route.weightedServices()),
                ofAccount.orElse(route.priority()),
                arrived + patience);
    }

    private ServiceId service(List<WeightedService> shares) {
        double drawn = random.getAsDouble()
                * shares.stream().mapToInt(WeightedService::weight).sum();
        for (WeightedService share : shares) {
            drawn -= share.weight();
            if (drawn < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }
}
