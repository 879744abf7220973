package org.cuminspur.router.internal.traffic;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.cuminspur.balance.BalanceExplanation;
import org.cuminspur.explain.ServiceExplanation;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.Revision;
import org.cuminspur.traffic.ClientAccount;
import org.cuminspur.traffic.HostRoute;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.UpstreamProcessId;
import org.cuminspur.traffic.UpstreamState;

/** Writes where a request would go as JSON; not thread-safe. Contains no key of a client account. */
final class ExplanationJson {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final long nowMillis;
    private final ObjectNode root = JSON.createObjectNode();
    private final ArrayNode services = JSON.createArrayNode();

    ExplanationJson(long nowMillis) {
        this.nowMillis = nowMillis;
    }

    void instance(InstanceId id, long viewAgeMillis, boolean accepts) {
        root.put("instance", id.value()).put("viewAgeMillis", viewAgeMillis).put("accepts", accepts);
    }

    /** Says why the request would be refused before it is placed. */
    void refused(String reason) {
        root.put("refused", reason);
    }

    void route(HostRoute route, Revision revision, Optional<ClientAccount> account) {
        root.put("route", route.id().value())
                .put("kind", route.kind().name())
                .put("revision", revision.value())
                .put("targetLatencyMillis", route.targetLatencyMillis())
                .put("timeoutMillis", route.timeoutMillis())
                .put("maxAttempts", route.maxAttempts())
                .put("priority", route.priority());
        account.ifPresent(known -> root.put("account", known.id().value()));
        root.set("services", services);
    }

    void service(ServiceExplanation service, boolean ownPath) {
        ObjectNode node = services.addObject()
                .put("service", service.service().value())
                .put("weight", service.weight())
                .put("ownPath", ownPath);
        service.first().ifPresent(decision -> decision(decision, node.putObject("choice")));
        service.retry().ifPresent(decision -> decision(decision, node.putObject("retry")));
        service.balance().ifPresent(balance -> balance(balance, service, node.putObject("balance")));
        ArrayNode candidates = node.putArray("candidates");
        service.candidates().forEach(candidate -> candidate(candidate, candidates.addObject()));
    }

    private void decision(PlacementDecision decision, ObjectNode node) {
        node.put("upstream", decision.upstream().id().value())
                .put("reason", decision.reason().name())
                .put("load", decision.estimate().load())
                .put("meanLoad", decision.estimate().mean())
                .put("loadLimit", decision.estimate().limit());
        decision.estimate().reportAgeMillis().ifPresent(age -> node.put("reportAgeMillis", age));
        decision.cacheSource()
                .ifPresent(source -> node.put("cacheSource", source.id().value()));
    }

    private void balance(BalanceExplanation balance, ServiceExplanation service, ObjectNode node) {
        node.put("assigner", balance.assigner().value()).put("waiting", balance.waiting());
        ArrayNode figures = node.putArray("upstreams");
        balance.figures()
                .forEach(known -> figures.addObject()
                        .put("upstream", name(service, known.upstream()))
                        .put("held", known.held())
                        .put("limit", known.limit())
                        .put("hasRoom", known.hasRoom())
                        .put("slowness", known.slowness())
                        .put("errorShare", known.errorShare()));
    }

    private static String name(ServiceExplanation service, UpstreamProcessId process) {
        return service.candidates().stream()
                .map(ServiceExplanation.Candidate::upstream)
                .filter(state -> UpstreamProcessId.of(state.entry()).equals(process))
                .map(state -> state.id().value())
                .findFirst()
                .orElse("");
    }

    private void candidate(ServiceExplanation.Candidate candidate, ObjectNode node) {
        UpstreamState state = candidate.upstream();
        node.put("upstream", state.id().value())
                .put("domain", state.entry().domain().value())
                .put("version", state.entry().version().value())
                .put("standing", state.standing().name())
                .put("own", state.inFlight())
                .put("waiting", state.estimatedWaiting(nowMillis))
                .put("cold", state.isCold(nowMillis))
                .put("failureRate", state.health().failureRate())
                .put("leftOutMillis", state.leftOutMillis(nowMillis));
        candidate.exclusion().ifPresent(reason -> node.put("excluded", reason.name()));
    }

    @Override
    public String toString() {
        return root.toString();
    }
}
