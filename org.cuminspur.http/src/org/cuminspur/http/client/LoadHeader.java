package org.cuminspur.http.client;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import org.cuminspur.http.internal.platform.EtcdJson;
import org.cuminspur.routing.LoadReport;

/**
 * Parses the load that an upstream reports in the ORCA header, in its JSON form.
 *
 * <p>Stateless and thread-safe. Of the named metrics it reads {@code in_progress}, {@code slots} and
 * {@code incarnation}.
 */
public final class LoadHeader {
    /** Name of the header. */
    public static final String NAME = "endpoint-load-metrics";

    private static final double MAX_COUNT = 1_000_000;
    private static final String JSON_PREFIX = "JSON ";

    private LoadHeader() {}

    /** Returns the report, or none if the header is absent or malformed. */
    public static Option<LoadReport> read(HttpResponseStream answer) {
        return Option.ofOptional(answer.header(NAME)).flatMap(LoadHeader::parse);
    }

    /** Returns the report in a header's value, or none if it is malformed or out of bounds. */
    public static Option<LoadReport> parse(String value) {
        if (!value.startsWith(JSON_PREFIX)) {
            return Option.none();
        }
        byte[] json = value.substring(JSON_PREFIX.length()).getBytes(StandardCharsets.UTF_8);
        return EtcdJson.parse(json)
                .map(node -> node.path("named_metrics"))
                .filter(metrics -> metrics.path("in_progress").isNumber())
                .map(LoadHeader::toReport)
                .filter(LoadHeader::isPlausible);
    }

    /** Rejects values out of bounds, which would route all requests to the upstream or none. */
    private static boolean isPlausible(LoadReport report) {
        return isPlausible(report.inProgress()) && isPlausible(report.slots()) && report.incarnation() >= 0;
    }

    private static boolean isPlausible(double count) {
        return count >= 0 && count <= MAX_COUNT;
    }

    private static LoadReport toReport(JsonNode metrics) {
        return new LoadReport(
                metrics.path("in_progress").asDouble(),
                metrics.path("slots").asDouble(),
                metrics.path("incarnation").asLong());
    }
}
