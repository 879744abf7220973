package org.cuminspur.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.time.Clock;

/** The list of instances, served as it was some time ago; thread-safe. */
public final class InstanceTable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_VERSIONS = 1_000;

    private record Version(long sinceMillis, Map<String, JsonNode> slices) {}

    private final Clock clock;
    private final Faults faults;
    private final Deque<Version> versions = new ArrayDeque<>();

    InstanceTable(Clock clock, Faults faults) {
        this.clock = clock;
        this.faults = faults;
        versions.add(new Version(0, Map.of()));
    }

    /** Lists an instance, or replaces its line. */
    public void put(ListedInstance instance) {
        put(instance.name(), slice(instance));
    }

    /** Drops an instance from the list. */
    public synchronized void remove(String name) {
        Map<String, JsonNode> slices = new TreeMap<>(versions.getLast().slices());
        slices.remove(name);
        add(slices);
    }

    synchronized void put(String name, JsonNode slice) {
        Map<String, JsonNode> slices = new TreeMap<>(versions.getLast().slices());
        slices.put(name, slice);
        add(slices);
    }

    synchronized JsonNode list() {
        long asOf = clock.millis() - faults.listLagMillis();
        Version seen = versions.getFirst();
        for (Version version : versions) {
            seen = version.sinceMillis() <= asOf ? version : seen;
        }
        ObjectNode root = JSON.createObjectNode().put("kind", "EndpointSliceList");
        ArrayNode items = root.putArray("items");
        seen.slices().values().forEach(items::add);
        return root;
    }

    private void add(Map<String, JsonNode> slices) {
        versions.add(new Version(clock.millis(), slices));
        if (versions.size() > MAX_VERSIONS) {
            versions.removeFirst();
        }
    }

    /** Returns the EndpointSlice of one instance. */
    public static JsonNode slice(ListedInstance instance) {
        ObjectNode root = JSON.createObjectNode();
        ObjectNode metadata = root.putObject("metadata").put("name", instance.name());
        metadata.putObject("labels").put("kubernetes.io/service-name", instance.service());
        ArrayNode ports = root.putArray("ports");
        instance.ports()
                .forEach((name, port) -> ports.addObject().put("name", name).put("port", port));
        ObjectNode endpoint = root.putArray("endpoints").addObject();
        endpoint.putArray("addresses").add(instance.host());
        endpoint.put("zone", instance.domain().value());
        endpoint.putObject("targetRef").put("name", instance.name()).put("uid", instance.incarnation());
        endpoint.putObject("conditions").put("ready", !instance.leaving()).put("terminating", instance.leaving());
        return root;
    }
}
