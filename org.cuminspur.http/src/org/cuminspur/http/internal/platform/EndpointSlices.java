package org.cuminspur.http.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.id.FailureDomainId;

/**
 * Parses instances from EndpointSlices of the Kubernetes discovery API; stateless and thread-safe.
 *
 * <p>A terminating endpoint is a leaving instance.
 */
public final class EndpointSlices {
    /** Path of the list. */
    public static final String PATH = "/apis/discovery.k8s.io/v1/endpointslices";

    private static final String SERVICE_LABEL = "kubernetes.io/service-name";

    private EndpointSlices() {}

    /** Returns the instances of a list by slice name. */
    public static Map<String, List<ListedInstance>> list(JsonNode list) {
        Map<String, List<ListedInstance>> slices = new HashMap<>();
        elements(list.path("items")).forEach(slice -> slices.put(name(slice), instances(slice)));
        return slices;
    }

    /** Returns the version of a list or a slice, from which a watch can continue. */
    public static String version(JsonNode object) {
        return object.path("metadata").path("resourceVersion").asText("");
    }

    /** Returns a slice's name. */
    public static String name(JsonNode slice) {
        return slice.path("metadata").path("name").asText();
    }

    /** Returns the instances of a slice. */
    public static List<ListedInstance> instances(JsonNode slice) {
        String service =
                slice.path("metadata").path("labels").path(SERVICE_LABEL).asText("");
        Map<String, Integer> ports = new HashMap<>();
        elements(slice.path("ports"))
                .forEach(port ->
                        ports.put(port.path("name").asText(), port.path("port").asInt()));
        return elements(slice.path("endpoints"))
                .filter(endpoint ->
                        !service.isBlank() && endpoint.path("addresses").has(0))
                .map(endpoint -> instance(service, ports, endpoint))
                .toList();
    }

    private static ListedInstance instance(String service, Map<String, Integer> ports, JsonNode endpoint) {
        return new ListedInstance(
                endpoint.path("targetRef").path("name").asText("unnamed"),
                service,
                endpoint.path("addresses").path(0).asText(),
                ports,
                new FailureDomainId(endpoint.path("zone").asText("none")),
                endpoint.path("targetRef").path("uid").asText(""),
                endpoint.path("conditions").path("terminating").asBoolean(false));
    }

    private static Stream<JsonNode> elements(JsonNode array) {
        return StreamSupport.stream(array.spliterator(), false);
    }
}
