package org.cuminspur.router;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cuminspur.config.ConfigFault;
import org.cuminspur.control.RouterIdentity;
import org.cuminspur.http.platform.PlatformAddress;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.internal.ini.IniReader;
import org.cuminspur.internal.ini.IniSection;
import org.cuminspur.internal.ini.SectionParser;
import org.cuminspur.once.IdempotencySettings;
import org.cuminspur.once.UndatedKeyPolicy;

/**
 * Reads a router's settings from INI text and reports every fault with its line.
 *
 * <p>Not thread-safe; one parser serves one call.
 */
public final class RouterSettingsParser {
    private static final int MAX_PORT = 65_535;
    private static final int MIN_KEY_CHARS = 16;
    private static final Set<String> SECTIONS = Set.of("router", "callers", "operators", "peers", "platform", "once");

    private final String file;
    private final List<ConfigFault> faults = new ArrayList<>();
    private final Map<String, SectionParser> sections = new HashMap<>();

    private RouterSettingsParser(String file) {
        this.file = file;
    }

    /** Returns the settings in {@code text}, or all faults found. */
    public static Either<List<ConfigFault>, RouterSettings> parse(String file, String text) {
        RouterSettingsParser parser = new RouterSettingsParser(file);
        IniReader.read(file, text, parser.faults).forEach(parser::addSection);
        RouterSettings settings = parser.settings();
        parser.sections.values().forEach(SectionParser::reportUnknownKeys);
        return parser.faults.isEmpty() ? Either.right(settings) : Either.left(List.copyOf(parser.faults));
    }

    private void addSection(IniSection section) {
        SectionParser parser = new SectionParser(file, section, faults);
        if (!SECTIONS.contains(section.kind()) || !section.name().isEmpty()) {
            faults.add(new ConfigFault(
                    file,
                    section.line(),
                    section.kind(),
                    "expected one of the sections " + SECTIONS.stream().sorted().toList()));
        } else if (sections.putIfAbsent(section.kind(), parser) != null) {
            faults.add(new ConfigFault(file, section.line(), section.kind(), "duplicate section"));
        }
    }

    private RouterSettings settings() {
        SectionParser router = sectionOf("router");
        String host = router.text("host", "127.0.0.1");
        return new RouterSettings(
                new RouterIdentity(new InstanceId(name(router, "name")), new FailureDomainId(name(router, "domain"))),
                host,
                callers(sectionOf("callers")),
                operators(sectionOf("operators")),
                peers(sectionOf("peers")),
                platform(sectionOf("platform")),
                idempotency(sectionOf("once")));
    }

    private static RouterSettings.Callers callers(SectionParser section) {
        return new RouterSettings.Callers(
                port(section, "port", 0),
                (int) section.number("threads", 256, 1, 10_000),
                section.bytes("max-body", 4 * 1_024 * 1_024, 1, 64 * 1_024 * 1_024),
                (int) section.bytes("max-headers", 32 * 1_024, 1_024, 1_024 * 1_024),
                section.duration("body-timeout", 10_000, 100, 600_000),
                section.duration("unready-time", 3_000, 0, 600_000),
                section.duration("stop-timeout", 120_000, 100, 3_600_000));
    }

    private static RouterSettings.Operators operators(SectionParser section) {
        return new RouterSettings.Operators(port(section, "port", 0), key(section));
    }

    private static RouterSettings.Peers peers(SectionParser section) {
        return new RouterSettings.Peers(port(section, "port", 0), key(section));
    }

    private static RouterSettings.Platform platform(SectionParser section) {
        PlatformAddress store =
                new PlatformAddress(section.text("store-host", "127.0.0.1"), port(section, "store-port", 2_379));
        PlatformAddress instances = new PlatformAddress(
                section.text("instances-host", "127.0.0.1"), port(section, "instances-port", 8_001));
        return new RouterSettings.Platform(store, instances, section.duration("timeout", 1_000, 10, 60_000));
    }

    private static IdempotencySettings idempotency(SectionParser section) {
        return new IdempotencySettings(
                section.duration("window", 3_600_000, 60_000, 7 * 24 * 3_600_000L),
                section.bytes("kept-answer", 4 * 1_024, 0, 512 * 1_024),
                section.choice("undated-keys", UndatedKeyPolicy.KEEP));
    }

    private static String name(SectionParser section, String key) {
        String value = section.required(key);
        return value.isEmpty() ? "missing" : value;
    }

    private static int port(SectionParser section, String key, int fallback) {
        return (int) section.number(key, fallback, 0, MAX_PORT);
    }

    private static String key(SectionParser section) {
        String key = section.required("key");
        if (!key.isEmpty() && key.length() < MIN_KEY_CHARS) {
            section.fault("key", "expected at least " + MIN_KEY_CHARS + " characters");
        }
        return key;
    }

    private SectionParser sectionOf(String kind) {
        return sections.computeIfAbsent(
                kind, absent -> new SectionParser(file, new IniSection(absent, "", 0, List.of()), faults));
    }
}
