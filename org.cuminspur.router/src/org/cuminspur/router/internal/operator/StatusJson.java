package org.cuminspur.router.internal.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cuminspur.control.ControlState;
import org.cuminspur.control.UpstreamRecord;
import org.cuminspur.router.internal.control.ControlLoop;

/** Writes a router's state as JSON for operators; stateless and thread-safe. */
final class StatusJson {
    private static final ObjectMapper JSON = new ObjectMapper();

    private StatusJson() {}

    static String encode(ControlLoop control) {
        return control.read(state -> write(state, control.snapshot().ready())).getOrElse("{}");
    }

    private static String write(ControlState state, boolean ready) {
        ObjectNode root = JSON.createObjectNode();
        root.put("instance", state.self().id().value());
        root.put("domain", state.self().domain().value());
        root.put("ready", ready);
        root.put("stopping", state.stopping());
        root.put("revision", state.configDocument().revision().value());
        root.put("publication", state.configDocument().publicationId());
        ArrayNode orders = root.putArray("orders");
        state.orders()
                .forEach(order -> orders.addObject()
                        .put("target", order.target().label())
                        .put("generation", order.generation())
                        .put("out", order.out())
                        .put("by", order.by()));
        ArrayNode upstreams = root.putArray("upstreams");
        state.upstreams().forEach(upstream -> write(state, upstream, upstreams.addObject()));
        ArrayNode peers = root.putArray("peers");
        state.peers().forEach(peer -> peers.add(peer.id().value()));
        return root.toString();
    }

    private static void write(ControlState state, UpstreamRecord upstream, ObjectNode node) {
        node.put("name", upstream.id().value())
                .put("service", upstream.service().value())
                .put("domain", upstream.domain().value())
                .put("leaving", upstream.leaving())
                .put("out", state.isOutOfService(upstream))
                .put("weight", upstream.weight())
                .put("in_progress", upstream.tracker().inProgress())
                .put("started", upstream.tracker().startedCount())
                .put("failed", upstream.tracker().failedCount());
    }
}
