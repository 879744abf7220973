package org.cuminspur.http.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.http.client.HttpAnswer;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.internal.platform.EtcdJson;
import org.cuminspur.id.FailureDomainId;

/**
 * Reads the platform's list of instances, given as EndpointSlices of the Kubernetes discovery API.
 *
 * <p>Thread-safe. An endpoint that is terminating is a leaving instance.
 */
public final class InstanceList {
    private static final String PATH = "/apis/discovery.k8s.io/v1/endpointslices";
    private static final String SERVICE_LABEL = "kubernetes.io/service-name";

    private final HttpClient http;
    private final PlatformAddress address;
    private final long timeoutMillis;

    public InstanceList(HttpClient http, PlatformAddress address, long timeoutMillis) {
        this.http = http;
        this.address = address;
        this.timeoutMillis = timeoutMillis;
    }

    /** Returns the list, or none if the platform does not answer. */
    public Option<List<ListedInstance>> read() {
        return http.call(HttpCall.get(address.host(), address.port(), PATH), timeoutMillis)
                .toOption()
                .filter(HttpAnswer::succeeded)
                .flatMap(answer -> EtcdJson.parse(answer.body()))
                .map(list -> elements(list.path("items"))
                        .flatMap(InstanceList::instances)
                        .toList());
    }

    private static Stream<ListedInstance> instances(JsonNode slice) {
        String service =
                slice.path("metadata").path("labels").path(SERVICE_LABEL).asText("");
        Map<String, Integer> ports = new HashMap<>();
        elements(slice.path("ports"))
                .forEach(port ->
                        ports.put(port.path("name").asText(), port.path("port").asInt()));
        return elements(slice.path("endpoints"))
                .filter(endpoint ->
                        !service.isBlank() && endpoint.path("addresses").has(0))
                .map(endpoint -> instance(service, ports, endpoint));
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
