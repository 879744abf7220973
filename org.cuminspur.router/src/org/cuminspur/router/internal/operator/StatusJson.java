package org.cuminspur.router.internal.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cuminspur.control.Tables;
import org.cuminspur.control.UpstreamRow;
import org.cuminspur.router.internal.control.ControlLoop;

/** Writes a router's state as JSON for operators; stateless and thread-safe. */
final class StatusJson {
    private static final ObjectMapper JSON = new ObjectMapper();

    private StatusJson() {}

    static String of(ControlLoop control) {
        return control.read(tables -> write(tables, control.snapshot().ready())).getOrElse("{}");
    }

    private static String write(Tables tables, boolean ready) {
        ObjectNode root = JSON.createObjectNode();
        root.put("instance", tables.self().id().value());
        root.put("domain", tables.self().domain().value());
        root.put("ready", ready);
        root.put("stopping", tables.stopping());
        root.put("revision", tables.document().revision().value());
        root.put("publication", tables.document().publicationId());
        ArrayNode orders = root.putArray("orders");
        tables.orders()
                .forEach(order -> orders.addObject()
                        .put("target", order.target().label())
                        .put("generation", order.generation())
                        .put("out", order.out())
                        .put("by", order.by()));
        ArrayNode upstreams = root.putArray("upstreams");
        tables.upstreams().forEach(row -> write(tables, row, upstreams.addObject()));
        ArrayNode peers = root.putArray("peers");
        tables.peers().forEach(peer -> peers.add(peer.id().value()));
        return root.toString();
    }

    private static void write(Tables tables, UpstreamRow row, ObjectNode node) {
        node.put("name", row.id().value())
                .put("service", row.service().value())
                .put("domain", row.domain().value())
                .put("leaving", row.leaving())
                .put("out", tables.out(row))
                .put("weight", row.weight())
                .put("in_progress", row.tracker().inProgress())
                .put("started", row.tracker().startedCount())
                .put("failed", row.tracker().failedCount());
    }
}
