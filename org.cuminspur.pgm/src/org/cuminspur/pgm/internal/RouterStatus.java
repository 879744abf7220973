package org.cuminspur.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;
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

    /** Returns whether a target's newest order there is in the state given. */
    public boolean hasOrder(String target, boolean out) {
        return json.exists(node -> {
            for (JsonNode order : node.path("orders")) {
                if (order.path("target").asText().equals(target)) {
                    return order.path("out").asBoolean() == out;
                }
            }
            return false;
        });
    }
}
