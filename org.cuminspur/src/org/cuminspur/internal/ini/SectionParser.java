package org.cuminspur.internal.ini;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongPredicate;
import java.util.stream.Stream;
import org.cuminspur.config.ConfigFault;

/**
 * Turns the entries of one section into typed values and reports each fault with its line.
 *
 * <p>Every key that the caller asks for is known; {@link #reportUnknownKeys()} reports the others. Not thread-safe.
 */
public final class SectionParser {
    private final String file;
    private final IniSection section;
    private final List<ConfigFault> faults;
    private final Set<String> knownKeys = new HashSet<>();

    public SectionParser(String file, IniSection section, List<ConfigFault> faults) {
        this.file = file;
        this.section = section;
        this.faults = faults;
    }

    /** Returns the section's name. */
    public String name() {
        return section.name();
    }

    /** Returns the text of a key, or {@code fallback} if it is absent. */
    public String text(String key, String fallback) {
        knownKeys.add(key);
        return section.entry(key).map(IniEntry::value).orElse(fallback);
    }

    /** Returns the text of a required key, or an empty text after reporting a fault. */
    public String required(String key) {
        String value = text(key, "");
        if (value.isEmpty()) {
            fault(key, "is missing");
        }
        return value;
    }

    /** Returns a duration in milliseconds, written with one of the units ms, s, m or h. */
    public long duration(String key, long fallbackMillis, long minMillis, long maxMillis) {
        String expected = "expected a duration from " + minMillis + "ms to " + maxMillis + "ms, such as 500ms or 2s";
        LongPredicate inBounds = millis -> millis >= minMillis && millis <= maxMillis;
        return parseOrFallback(
                key, fallbackMillis, expected, text -> requireInBounds(Units.parseMillis(text), inBounds));
    }

    /** Returns a whole number within bounds. */
    public long number(String key, long fallback, long min, long max) {
        String expected = "expected a whole number from " + min + " to " + max;
        return parseOrFallback(
                key,
                fallback,
                expected,
                text -> requireInBounds(Long.parseLong(text), value -> value >= min && value <= max));
    }

    /** Returns a size in bytes, written with one of the units B, KB or MB. */
    public long bytes(String key, long fallback, long min, long max) {
        String expected = "expected a size from " + min + "B to " + max + "B, such as 64KB";
        LongPredicate inBounds = value -> value >= min && value <= max;
        return parseOrFallback(key, fallback, expected, text -> requireInBounds(Units.parseBytes(text), inBounds));
    }

    /** Returns a decimal number within bounds. */
    public double decimal(String key, double fallback, double min, double max) {
        String expected = "expected a number from " + min + " to " + max;
        return parseOrFallback(key, fallback, expected, text -> {
            double value = Double.parseDouble(text);
            if (!(value >= min && value <= max)) {
                throw new IllegalArgumentException(text);
            }
            return value;
        });
    }

    /** Returns a share written as a percentage such as {@code 99.5%}, as a number from 0 to 1. */
    public double share(String key, double fallback) {
        return parseOrFallback(key, fallback, "expected a share from 0% to 100%", Units::parseShare);
    }

    /** Returns yes or no as a boolean. */
    public boolean flag(String key, boolean fallback) {
        return parseOrFallback(key, fallback, "expected yes or no", text -> switch (text) {
            case "yes" -> true;
            case "no" -> false;
            default -> throw new IllegalArgumentException(text);
        });
    }

    /** Returns one of an enum's constants, written in lower case with hyphens. */
    public <E extends Enum<E>> E choice(String key, E fallback) {
        Class<E> type = fallback.getDeclaringClass();
        List<String> names = Stream.of(type.getEnumConstants())
                .map(constant -> constant.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .toList();
        Function<String, E> parse = text -> type.getEnumConstants()[requiredIndex(names, text)];
        return parseOrFallback(key, fallback, "expected one of " + names, parse);
    }

    /** Returns a comma-separated list, empty if the key is absent. */
    public List<String> list(String key) {
        return Stream.of(text(key, "").split(","))
                .map(String::strip)
                .filter(part -> !part.isEmpty())
                .toList();
    }

    /** Reports a fault at the line of {@code key}, or of the section if the key is absent. */
    public void fault(String key, String message) {
        int line = section.entry(key).map(IniEntry::line).orElse(section.line());
        faults.add(new ConfigFault(file, line, qualifiedKey(key), message));
    }

    /** Reports every key that was not asked for. */
    public void reportUnknownKeys() {
        section.entries().stream()
                .filter(entry -> !knownKeys.contains(entry.key()))
                .forEach(entry -> fault(
                        entry.key(),
                        "is not a known key; known are "
                                + knownKeys.stream().sorted().toList()));
    }

    private <T> T parseOrFallback(String key, T fallback, String expected, Function<String, T> parse) {
        String text = text(key, "");
        if (text.isEmpty()) {
            return fallback;
        }
        try {
            return parse.apply(text);
        } catch (IllegalArgumentException | ArithmeticException e) {
            fault(key, expected + ", found '" + text + "'");
            return fallback;
        }
    }

    private static long requireInBounds(long value, LongPredicate inBounds) {
        if (!inBounds.test(value)) {
            throw new IllegalArgumentException(Long.toString(value));
        }
        return value;
    }

    private static int requiredIndex(List<String> names, String text) {
        int index = names.indexOf(text);
        if (index < 0) {
            throw new IllegalArgumentException(text);
        }
        return index;
    }

    private String qualifiedKey(String key) {
        return section.kind() + (section.name().isEmpty() ? "" : " " + section.name()) + "." + key;
    }
}
