package org.cuminspur.router;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminspur.config.ConfigFault;
import org.cuminspur.http.platform.PlatformAddress;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.internal.ini.IniReader;
import org.cuminspur.internal.ini.IniSection;
import org.cuminspur.internal.ini.SectionParser;
import org.cuminspur.rollout.RolloutBounds;
import org.cuminspur.traffic.NetworkAddress;
import org.cuminspur.traffic.TrafficBounds;

/**
 * Reads the settings of a traffic instance from INI text and reports every fault with its line.
 *
 * <p>Not thread-safe; one parser serves one call.
 */
public final class TrafficSettingsParser {
    private static final String PEERS = "peers";
    private static final int MAX_PORT = 65_535;
    private static final long HOUR_MS = 3_600_000;

    private final String file;
    private final List<ConfigFault> faults = new ArrayList<>();
    private final Map<String, SectionParser> sections = new HashMap<>();

    private TrafficSettingsParser(String file) {
        this.file = file;
    }

    /** Returns the settings in {@code text}, or all faults found. */
    public static Either<List<ConfigFault>, TrafficSettings> parse(String file, String text) {
        TrafficSettingsParser parser = new TrafficSettingsParser(file);
        IniReader.read(file, text, parser.faults)
                .forEach(section ->
                        parser.sections.put(section.kind(), new SectionParser(file, section, parser.faults)));
        TrafficSettings settings = parser.settings();
        parser.sections.values().forEach(SectionParser::reportUnknownKeys);
        return parser.faults.isEmpty() ? Either.right(settings) : Either.left(List.copyOf(parser.faults));
    }

    private TrafficSettings settings() {
        SectionParser instance = sectionOf("instance");
        SectionParser listen = sectionOf("listen");
        return new TrafficSettings(
                new InstanceId(name(instance, "name")),
                new FailureDomainId(name(instance, "domain")),
                address(listen, "callers"),
                address(listen, "readiness"),
                (int) listen.number("metrics-port", 0, 0, MAX_PORT),
                peers(listen),
                address(sectionOf("store"), "address"),
                bounds(sectionOf("bounds")),
                rolloutBounds(sectionOf("bounds")));
    }

    private static Optional<NetworkAddress> peers(SectionParser listen) {
        String text = listen.text(PEERS, "");
        Optional<NetworkAddress> address = NetworkAddress.parse(text);
        if (!text.isEmpty() && address.isEmpty()) {
            listen.fault(PEERS, "expected an address such as 10.0.0.1:7355, found '" + text + "'");
        }
        return address;
    }

    private static TrafficBounds bounds(SectionParser section) {
        return new TrafficBounds(
                section.duration("revoke", 5_000, 100, HOUR_MS),
                Math.min(
                        section.duration("leave", 2_000, 100, HOUR_MS),
                        section.duration("publish", 2_000, 100, HOUR_MS)),
                section.duration("lapse-return", 2_600, 0, HOUR_MS),
                section.decimal("retry-ratio", 0.2, 0, 100),
                section.decimal("retry-slack", 50, 0, 1_000_000),
                section.duration("retry-window", 10_000, 100, HOUR_MS),
                section.decimal("cold-overage", 1.5, 0, 100),
                section.decimal("cold-slack", 5, 0, 1_000_000),
                section.decimal("load-factor", 2, 1, 100),
                section.duration("grace", 8_000, 100, HOUR_MS));
    }

    private static RolloutBounds rolloutBounds(SectionParser section) {
        return new RolloutBounds(
                section.decimal("rollout-share", RolloutBounds.DEFAULT.exposureShare(), 0, 1),
                section.decimal("rollout-slack", RolloutBounds.DEFAULT.exposureSlack(), 0, 1_000_000));
    }

    private static PlatformAddress address(SectionParser section, String key) {
        String text = section.required(key);
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port <= MAX_PORT) {
                return new PlatformAddress(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // Reported below, as every other malformed address.
        }
        if (!text.isEmpty()) {
            section.fault(key, "expected an address such as 10.0.0.1:8080, found '" + text + "'");
        }
        return new PlatformAddress("missing", 1);
    }

    private static String name(SectionParser section, String key) {
        String value = section.required(key);
        return value.isEmpty() ? "missing" : value;
    }

    private SectionParser sectionOf(String kind) {
        return sections.computeIfAbsent(
                kind, absent -> new SectionParser(file, new IniSection(absent, "", 0, List.of()), faults));
    }
}
