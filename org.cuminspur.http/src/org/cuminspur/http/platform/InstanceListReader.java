package org.cuminspur.http.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import java.util.Collection;
import java.util.List;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.client.HttpResponse;
import org.cuminspur.http.internal.platform.EndpointSlices;
import org.cuminspur.http.internal.platform.EtcdJson;

/** Reads the platform's complete list of instances; thread-safe. */
public final class InstanceListReader {
    private final HttpClient http;
    private final PlatformAddress address;
    private final long timeoutMillis;

    public InstanceListReader(HttpClient http, PlatformAddress address, long timeoutMillis) {
        this.http = http;
        this.address = address;
        this.timeoutMillis = timeoutMillis;
    }

    /** Returns the list, or none if the platform does not answer. */
    public Option<List<ListedInstance>> read() {
        return readJson()
                .map(list -> EndpointSlices.list(list).values().stream()
                        .flatMap(Collection::stream)
                        .toList());
    }

    Option<JsonNode> readJson() {
        return http.call(HttpCall.get(address.host(), address.port(), EndpointSlices.PATH), timeoutMillis)
                .toOption()
                .filter(HttpResponse::succeeded)
                .flatMap(answer -> EtcdJson.parse(answer.body()));
    }
}
