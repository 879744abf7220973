package org.cuminspur.pgm.internal;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cuminspur.config.ConfigFault;
import org.cuminspur.http.platform.PlatformAddress;
import org.cuminspur.internal.ini.IniReader;
import org.cuminspur.internal.ini.IniSection;
import org.cuminspur.internal.ini.SectionParser;

/**
 * Where the platform is and how operators show who they are; immutable.
 *
 * @param timeoutMillis the longest wait for one reply
 * @param key the operators' key
 */
public record OperatorSettings(PlatformAddress store, PlatformAddress instances, long timeoutMillis, String key) {
    private static final int MAX_PORT = 65_535;

    /** Reads settings from a file, or returns all faults found. */
    public static Either<List<ConfigFault>, OperatorSettings> read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            return Either.left(List.of(new ConfigFault(file.toString(), 0, "file", "cannot be read")));
        }
    }

    /** Reads settings from INI text with one section, {@code [operator]}, or returns all faults found. */
    public static Either<List<ConfigFault>, OperatorSettings> parse(String file, String text) {
        List<ConfigFault> faults = new ArrayList<>();
        List<IniSection> sections = IniReader.read(file, text, faults);
        if (sections.size() != 1 || !sections.get(0).kind().equals("operator")) {
            faults.add(new ConfigFault(file, 0, "operator", "expected one section, [operator]"));
            return Either.left(faults);
        }
        SectionParser in = new SectionParser(file, sections.get(0), faults);
        OperatorSettings settings = new OperatorSettings(
                new PlatformAddress(in.text("store-host", "127.0.0.1"), port(in, "store-port", 2_379)),
                new PlatformAddress(in.text("instances-host", "127.0.0.1"), port(in, "instances-port", 8_001)),
                in.duration("timeout", 2_000, 10, 60_000),
                in.required("key"));
        in.reportUnknownKeys();
        return faults.isEmpty() ? Either.right(settings) : Either.left(faults);
    }

    private static int port(SectionParser in, String key, int fallback) {
        return (int) in.number(key, fallback, 1, MAX_PORT);
    }

    @Override
    public String toString() {
        return "OperatorSettings[store=" + store + ", instances=" + instances + "]";
    }
}
