package org.cuminspur.internal.ini;

import java.math.BigDecimal;
import java.util.List;

/** Reads numbers with units; stateless and thread-safe. */
final class Units {
    private record Unit(String suffix, long factor) {}

    /** Longer suffixes stand first, since "ms" also ends in "s". */
    private static final List<Unit> DURATIONS =
            List.of(new Unit("ms", 1), new Unit("s", 1_000), new Unit("m", 60_000), new Unit("h", 3_600_000));

    private static final List<Unit> SIZES =
            List.of(new Unit("KB", 1_024), new Unit("MB", 1_024 * 1_024), new Unit("B", 1));

    private Units() {}

    static long parseMillis(String text) {
        return parseScaled(text, DURATIONS);
    }

    static long parseBytes(String text) {
        return parseScaled(text, SIZES);
    }

    static double parseShare(String text) {
        if (!text.endsWith("%")) {
            throw new IllegalArgumentException(text);
        }
        double share = Double.parseDouble(text.substring(0, text.length() - 1)) / 100;
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException(text);
        }
        return share;
    }

    private static long parseScaled(String text, List<Unit> units) {
        Unit unit = units.stream()
                .filter(candidate -> text.endsWith(candidate.suffix()))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException(text));
        String digits =
                text.substring(0, text.length() - unit.suffix().length()).strip();
        return new BigDecimal(digits)
                .multiply(BigDecimal.valueOf(unit.factor()))
                .longValueExact();
    }
}
