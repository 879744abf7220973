package org.cuminspur.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Iterator;
import io.vavr.control.Option;
import org.cuminspur.control.ListedInstance;

/**
 * What one router said of itself; immutable.
 *
 * @param json its status, none if it did not answer
 */
public record RouterStatus(ListedInstance instance, Option<JsonNode> json) {
    /** Returns whether the router answered. */
    public boolean answered() {
        return json.isDefined();
    }

    /** Returns the revision in force there, or 0 if it did not answer. */
    public long revision() {
        return json.map(node -> node.path("revision").asLong()).getOrElse(0L);
    }

    /** Returns whether the router holds an order about a target of a generation or a newer one. */
    public boolean holdsOrder(String target, long generation) {
        return order(target).exists(order -> order.path("generation").asLong() >= generation);
    }

    /** Returns the router's order about a target. */
    public Option<JsonNode> order(String target) {
        return json.flatMap(node -> Iterator.ofAll(node.path("orders"))
                .find(order -> order.path("target").asText().equals(target)));
    }
}
