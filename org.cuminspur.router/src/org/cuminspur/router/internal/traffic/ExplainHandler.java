package org.cuminspur.router.internal.traffic;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.util.Deque;
import java.util.Optional;
import org.cuminspur.explain.PlacementExplainer;
import org.cuminspur.router.TrafficSettings;
import org.cuminspur.traffic.ClientAccount;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.HostRoute;
import org.cuminspur.traffic.PromptDescription;
import org.cuminspur.traffic.RequestMetadata;
import org.cuminspur.traffic.TrafficConfig;

/**
 * Tells operators where a request would go now, and why, as JSON; used on the traffic thread.
 *
 * <p>Query parameters: {@code host} and {@code path} of the request, {@code account} the name of its client account. The headers
 * are those of the request; what they say of a prompt counts. Answers a few times a second at most, since it takes the thread that serves callers.
 */
final class ExplainHandler implements HttpHandler {
    /** Shortest time between two explanations, so that callers are served meanwhile. */
    private static final long MIN_INTERVAL_MS = 100;

    private final TrafficContext context;
    private final TrafficSettings settings;
    private final PlacementExplainer explainer;
    private long explainedMillis = Long.MIN_VALUE / 2;

    ExplainHandler(TrafficContext context, TrafficSettings settings) {
        this.context = context;
        this.settings = settings;
        this.explainer = new PlacementExplainer(
                context.upstreams(),
                settings.domain(),
                settings.bounds().loadFactor(),
                context.promptCaches(),
                context.balancer(),
                context.clock());
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long now = context.clock().millis();
        if (now - explainedMillis < MIN_INTERVAL_MS) {
            exchange.setStatusCode(StatusCodes.TOO_MANY_REQUESTS);
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, 1);
            return;
        }
        explainedMillis = now;
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(explain(exchange, now));
    }

    private String explain(HttpServerExchange exchange, long now) {
        FleetView view = context.upstreams().view();
        ExplanationJson json = new ExplanationJson(now);
        json.instance(
                settings.id(), context.freshness().ageMillis(), !context.stop().stopping());
        Optional<HostRoute> route =
                view.routes().flatMap(routes -> routes.route(parameter(exchange, "host"), parameter(exchange, "path")));
        if (view.routes().isEmpty()) {
            json.refused("not-ready");
        } else if (route.isEmpty()) {
            json.refused("no-route");
        } else {
            TrafficConfig config = view.routes().get().config();
            Optional<ClientAccount> account = account(config, parameter(exchange, "account"));
            json.route(route.get(), config.revision(), account);
            if (config.keysRequired() && !route.get().authExempt() && account.isEmpty()) {
                json.refused("unauthenticated");
            }
            PromptDescription prompt = context.headerCodec()
                    .decodeCall(exchange.getRequestHeaders())
                    .map(RequestMetadata::prompt)
                    .getOrElse(PromptDescription.NONE);
            explainer
                    .explain(route.get(), prompt)
                    .forEach(service ->
                            json.service(service, context.paths().monitor().usesOwnPath(service.service())));
        }
        return json.toString();
    }

    private static Optional<ClientAccount> account(TrafficConfig config, String name) {
        return config.accountsByKey().values().stream()
                .filter(account -> account.id().value().equals(name))
                .findFirst();
    }

    private static String parameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? "" : values.getFirst();
    }
}
