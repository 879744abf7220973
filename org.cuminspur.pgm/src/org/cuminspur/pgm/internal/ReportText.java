package org.cuminspur.pgm.internal;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.cuminspur.slo.BurnRow;
import org.cuminspur.slo.BurnWindow;

/** Writes a fleet's burn report as plain text; stateless and thread-safe. */
public final class ReportText {
    private ReportText() {}

    /** Returns the lines. */
    public static List<String> lines(FleetReport report) {
        String windows = FleetReport.WINDOWS.stream()
                .map(window -> String.format("%9s", "burn " + window))
                .collect(Collectors.joining(" "));
        String head =
                String.format("%-16s %-16s %8s %8s %8s %s alarm", "service", "account", "good", "bad", "left", windows);
        Stream<String> latencies = report.sum().latencies().entrySet().stream()
                .flatMap(entry -> Stream.of(
                        times(entry.getKey() + " first token", entry.getValue().firstToken()),
                        times(
                                entry.getKey() + " between tokens",
                                entry.getValue().betweenTokens())));
        Stream<String> rows = Stream.concat(report.sum().serviceRows().stream(), report.rows().stream())
                .map(ReportText::row);
        return Stream.of(Stream.of(report.coverage(), dropped(report), head), rows, latencies)
                .flatMap(lines -> lines)
                .filter(line -> !line.isEmpty())
                .toList();
    }

    private static String dropped(FleetReport report) {
        long dropped = report.sum().dropped();
        return dropped == 0 ? "" : dropped + " requests were not counted: too many services and accounts";
    }

    private static String row(BurnRow row) {
        String burns = FleetReport.WINDOWS.stream()
                .map(window -> String.format(Locale.ROOT, "%9.2f", row.burnRate(window)))
                .collect(Collectors.joining(" "));
        String longest = BurnWindow.SLOW.longLabel();
        return String.format(
                Locale.ROOT,
                "%-16s %-16s %8d %8d %7.0f%% %s %s",
                row.service(),
                row.account(),
                row.countsIn(longest).good(),
                row.countsIn(longest).bad(),
                row.budgetLeft() * 100,
                burns,
                FleetReport.alarms(row));
    }

    private static String times(String name, Histogram histogram) {
        String values = FleetReport.PERCENTILES.stream()
                .map(percentile -> "p" + percentile + "=" + histogram.getValueAtPercentile(percentile) + "ms")
                .collect(Collectors.joining(" "));
        return name + ": " + values + " of " + histogram.getTotalCount();
    }
}
