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
        IniReader.read(file, text, parser.faults).forEach(parser::section);
        RouterSettings settings = parser.settings();
        parser.sections.values().forEach(SectionParser::reportUnknownKeys);
        return parser.faults.isEmpty() ? Either.right(settings) : Either.left(List.copyOf(parser.faults));
    }

    private void section(IniSection section) {
        SectionParser parser = new SectionParser(file, section, faults);
        if (!SECTIONS.contains(section.kind()) || !section.name().isEmpty()) {
            faults.add(new ConfigFault(
                    file,
                    section.line(),
                    section.kind(),
                    "expected one of the sections " + SECTIONS.stream().sorted().toList()));
        } else if (sections.putIfAbsent(section.kind(), parser) != null) {
            faults.add(new ConfigFault(file, section.line(), section.kind(), "stands twice"));
        }
    }

    private RouterSettings settings() {
        SectionParser router = in("router");
        String host = router.text("host", "127.0.0.1");
        return new RouterSettings(
                new RouterIdentity(new InstanceId(name(router, "name")), new FailureDomainId(name(router, "domain"))),
                host,
                callers(in("callers")),
                operators(in("operators")),
                peers(in("peers")),
                platform(in("platform")),
                once(in("once")));
    }

    private static RouterSettings.Callers callers(SectionParser in) {
        return new RouterSettings.Callers(
                port(in, "port", 0),
                (int) in.number("threads", 256, 1, 10_000),
                in.bytes("max-body", 4 * 1_024 * 1_024, 1, 64 * 1_024 * 1_024),
                (int) in.bytes("max-headers", 32 * 1_024, 1_024, 1_024 * 1_024),
                in.duration("body-timeout", 10_000, 100, 600_000),
                in.duration("unready-time", 3_000, 0, 600_000),
                in.duration("stop-timeout", 120_000, 100, 3_600_000));
    }

    private static RouterSettings.Operators operators(SectionParser in) {
        return new RouterSettings.Operators(port(in, "port", 0), key(in));
    }

    private static RouterSettings.Peers peers(SectionParser in) {
        return new RouterSettings.Peers(port(in, "port", 0), key(in));
    }

    private static RouterSettings.Platform platform(SectionParser in) {
        PlatformAddress store = new PlatformAddress(in.text("store-host", "127.0.0.1"), port(in, "store-port", 2_379));
        PlatformAddress instances =
                new PlatformAddress(in.text("instances-host", "127.0.0.1"), port(in, "instances-port", 8_001));
        return new RouterSettings.Platform(store, instances, in.duration("timeout", 1_000, 10, 60_000));
    }

    private static IdempotencySettings once(SectionParser in) {
        return new IdempotencySettings(
                in.duration("window", 3_600_000, 60_000, 7 * 24 * 3_600_000L),
                in.bytes("kept-answer", 4 * 1_024, 0, 512 * 1_024),
                in.choice("undated-keys", UndatedKeyPolicy.KEEP));
    }

    private static String name(SectionParser in, String key) {
        String value = in.required(key);
        return value.isEmpty() ? "missing" : value;
    }

    private static int port(SectionParser in, String key, int fallback) {
        return (int) in.number(key, fallback, 0, MAX_PORT);
    }

    private static String key(SectionParser in) {
        String key = in.required("key");
        if (!key.isEmpty() && key.length() < MIN_KEY_CHARS) {
            in.fault("key", "expected at least " + MIN_KEY_CHARS + " characters");
        }
        return key;
    }

    private SectionParser in(String kind) {
        return sections.computeIfAbsent(
                kind, absent -> new SectionParser(file, new IniSection(absent, "", 0, List.of()), faults));
    }
}
