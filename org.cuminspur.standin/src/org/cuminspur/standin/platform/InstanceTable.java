package org.cuminspur.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.time.Clock;

/** The instance list, served with the lag of {@link PlatformFaults#listLagMillis}; thread-safe. */
public final class InstanceTable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_VERSIONS = 1_000;

    /** The list after one change; immutable. */
    private record Version(long number, long sinceMillis, Map<String, JsonNode> slices) {}

    private final Clock clock;
    private final PlatformFaults faults;
    private final Deque<Version> versions = new ArrayDeque<>();

    InstanceTable(Clock clock, PlatformFaults faults) {
        this.clock = clock;
        this.faults = faults;
        versions.add(new Version(1, 0, Map.of()));
    }

    /** Adds an instance, or replaces its entry. */
    public void put(ListedInstance instance) {
        put(instance.name(), endpointSlice(instance));
    }

    public synchronized void remove(String name) {
        Map<String, JsonNode> slices = new TreeMap<>(versions.getLast().slices());
        slices.remove(name);
        addVersion(slices);
    }

    synchronized void put(String name, JsonNode slice) {
        Map<String, JsonNode> slices = new TreeMap<>(versions.getLast().slices());
        slices.put(name, slice);
        addVersion(slices);
    }

    synchronized JsonNode list() {
        Version visible = visibleVersion();
        ObjectNode root = JSON.createObjectNode().put("kind", "EndpointSliceList");
        root.putObject("metadata").put("resourceVersion", Long.toString(visible.number()));
        ArrayNode items = root.putArray("items");
        visible.slices().values().forEach(items::add);
        return root;
    }

    /** Returns the number of the newest version that is at least as old as the lag. */
    synchronized long visibleVersionNumber() {
        return visibleVersion().number();
    }

    /** Returns the watch events that turn one version into another. */
    synchronized List<JsonNode> events(long after, long upTo) {
        Map<String, JsonNode> from = slices(after);
        Map<String, JsonNode> to = slices(upTo);
        List<JsonNode> events = new ArrayList<>();
        to.forEach((name, slice) -> {
            if (!slice.equals(from.get(name))) {
                events.add(event(from.containsKey(name) ? "MODIFIED" : "ADDED", slice, upTo));
            }
        });
        from.forEach((name, slice) -> {
            if (!to.containsKey(name)) {
                events.add(event("DELETED", slice, upTo));
            }
        });
        return events;
    }

    private Version visibleVersion() {
        long asOf = clock.millis() - faults.listLagMillis();
        Version visible = versions.getFirst();
        for (Version version : versions) {
            visible = version.sinceMillis() <= asOf ? version : visible;
        }
        return visible;
    }

    private Map<String, JsonNode> slices(long number) {
        return versions.stream()
                .filter(version -> version.number() == number)
                .findFirst()
                .map(Version::slices)
                .orElse(Map.of());
    }

    private static JsonNode event(String type, JsonNode slice, long version) {
        ObjectNode object = slice.deepCopy();
        ((ObjectNode) object.path("metadata")).put("resourceVersion", Long.toString(version));
        ObjectNode event = JSON.createObjectNode().put("type", type);
        event.set("object", object);
        return event;
    }

    private void addVersion(Map<String, JsonNode> slices) {
        versions.add(new Version(versions.getLast().number() + 1, clock.millis(), slices));
        if (versions.size() > MAX_VERSIONS) {
            versions.removeFirst();
        }
    }

    /** Returns the EndpointSlice of one instance. */
    public static JsonNode endpointSlice(ListedInstance instance) {
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
