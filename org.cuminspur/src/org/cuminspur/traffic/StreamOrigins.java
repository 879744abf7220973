package org.cuminspur.traffic;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.StreamId;

/** Where streams began, as an instance writes it to the store; immutable. */
public record StreamOrigins(Map<StreamId, StreamOrigin> origins) {
    /** No streams. */
    public static final StreamOrigins NONE = new StreamOrigins(Map.of());

    private static final String GROUP = ";";
    private static final String NAME = "/";
    private static final String IDS = "=";
    private static final String ID = ",";

    public StreamOrigins {
        origins = Map.copyOf(origins);
    }

    /** Decodes the text of {@link #encode}; throws {@link IllegalArgumentException} if it is malformed. */
    public static StreamOrigins decode(String text) {
        Map<StreamId, StreamOrigin> decoded = new HashMap<>();
        for (String group : text.split(GROUP)) {
            String[] parts = group.split("[" + NAME + IDS + "]", -1);
            if (parts.length != 3) {
                throw new IllegalArgumentException("malformed stream origins: expected service, version and ids");
            }
            StreamOrigin origin = new StreamOrigin(
                    new ServiceId(URLDecoder.decode(parts[0], StandardCharsets.UTF_8)),
                    new SoftwareVersion(URLDecoder.decode(parts[1], StandardCharsets.UTF_8)));
            Stream.of(parts[2].split(ID))
                    .map(id -> new StreamId(Long.parseUnsignedLong(id, Character.MAX_RADIX)))
                    .forEach(id -> decoded.put(id, origin));
        }
        return new StreamOrigins(decoded);
    }

    /** Encodes as text: for each service and version the ids of its streams. */
    String encode() {
        Map<StreamOrigin, List<String>> ids = origins.entrySet().stream()
                .collect(Collectors.groupingBy(
                        Map.Entry::getValue,
                        Collectors.mapping(
                                entry -> Long.toUnsignedString(entry.getKey().hash(), Character.MAX_RADIX),
                                Collectors.toList())));
        return ids.entrySet().stream()
                .map(group -> encode(group.getKey().service().value())
                        + NAME
                        + encode(group.getKey().version().value())
                        + IDS
                        + group.getValue().stream().sorted().collect(Collectors.joining(ID)))
                .sorted()
                .collect(Collectors.joining(GROUP));
    }

    private static String encode(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8);
    }
}
