package org.cuminspur.slo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.StreamSupport;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.ServiceId;

/** Encodes burn reports as JSON and decodes them; stateless and thread-safe. */
public final class BurnReportCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MIN_HIGHEST_TRACKABLE = 2;

    private BurnReportCodec() {}

    /** Returns a report as JSON, with histograms compressed. */
    public static ObjectNode encode(BurnReport report) {
        ObjectNode root =
                JSON.createObjectNode().put("since", report.sinceMillis()).put("dropped", report.dropped());
        report.rows().forEach(row -> encode(row, root.withArray("/rows").addObject()));
        report.latencies()
                .forEach((service, latency) -> root.withObject("/latencies")
                        .putObject(service.value())
                        .put("first_token", encode(latency.firstToken()))
                        .put("between_tokens", encode(latency.betweenTokens())));
        return root;
    }

    /** Returns the report, or none if the JSON is malformed. */
    public static Option<BurnReport> decode(JsonNode root) {
        return Try.of(() -> decodeReport(root)).toOption();
    }

    private static void encode(BurnRow row, ObjectNode node) {
        node.put("service", row.service().value())
                .put("account", row.account().value())
                .put("objective", row.targetShare());
        ObjectNode counts = node.putObject("counts");
        new TreeMap<>(row.counts())
                .forEach((window, sums) ->
                        counts.putObject(window).put("good", sums.good()).put("bad", sums.bad()));
    }

    private static String encode(Histogram histogram) {
        ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
        int length = histogram.encodeIntoCompressedByteBuffer(buffer);
        return Base64.getEncoder().encodeToString(Arrays.copyOf(buffer.array(), length));
    }

    private static BurnReport decodeReport(JsonNode root) throws DataFormatException {
        Map<ServiceId, BurnReport.Latency> latencies = new HashMap<>();
        for (Map.Entry<String, JsonNode> entry : root.path("latencies").properties()) {
            BurnReport.Latency latency = new BurnReport.Latency(
                    decodeHistogram(entry.getValue().path("first_token").asText()),
                    decodeHistogram(entry.getValue().path("between_tokens").asText()));
            latencies.put(new ServiceId(entry.getKey()), latency);
        }
        return new BurnReport(
                root.required("since").asLong(),
                root.path("dropped").asLong(),
                StreamSupport.stream(root.path("rows").spliterator(), false)
                        .map(BurnReportCodec::decodeRow)
                        .toList(),
                latencies);
    }

    private static BurnRow decodeRow(JsonNode node) {
        Map<String, RequestCounts> counts = new HashMap<>();
        node.path("counts")
                .properties()
                .forEach(entry -> counts.put(
                        entry.getKey(),
                        new RequestCounts(
                                entry.getValue().path("good").asLong(),
                                entry.getValue().path("bad").asLong())));
        return new BurnRow(
                new ServiceId(node.path("service").asText()),
                new AccountId(node.path("account").asText()),
                node.path("objective").asDouble(),
                counts);
    }

    private static Histogram decodeHistogram(String base64) throws DataFormatException {
        ByteBuffer buffer = ByteBuffer.wrap(Base64.getDecoder().decode(base64));
        return Histogram.decodeFromCompressedByteBuffer(buffer, MIN_HIGHEST_TRACKABLE);
    }
}
