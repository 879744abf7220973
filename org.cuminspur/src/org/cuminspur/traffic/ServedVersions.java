package org.cuminspur.traffic;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.id.SoftwareVersion;

/**
 * The software versions of a service at which streams may have begun that can still be resumed, as the store holds them;
 * immutable.
 */
public record ServedVersions(Set<SoftwareVersion> versions) {
    /** No version. */
    public static final ServedVersions NONE = new ServedVersions(Set.of());

    private static final String SEPARATOR = ",";

    public ServedVersions {
        versions = Set.copyOf(versions);
    }

    /** Decodes the text of {@link #encode}; throws {@link IllegalArgumentException} if it is malformed. */
    public static ServedVersions decode(String text) {
        return new ServedVersions(Stream.of(text.split(SEPARATOR, -1))
                .map(version -> new SoftwareVersion(URLDecoder.decode(version, StandardCharsets.UTF_8)))
                .collect(Collectors.toSet()));
    }

    /** Encodes as text: the versions in URL encoding, separated by commas. */
    String encode() {
        return versions.stream()
                .map(version -> URLEncoder.encode(version.value(), StandardCharsets.UTF_8))
                .sorted()
                .collect(Collectors.joining(SEPARATOR));
    }
}
