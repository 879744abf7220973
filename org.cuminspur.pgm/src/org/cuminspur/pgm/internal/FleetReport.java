package org.cuminspur.pgm.internal;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.cuminspur.slo.BurnReport;
import org.cuminspur.slo.BurnRow;
import org.cuminspur.slo.BurnWindow;

/**
 * The burn report of a fleet; used by one thread.
 *
 * @param answered instances whose part is in the sum
 * @param listed instances in the platform's list
 * @param sum the sum of their reports
 */
public record FleetReport(int answered, int listed, BurnReport sum) {
    /** The percentiles that are shown. */
    static final List<Double> PERCENTILES = List.of(50.0, 90.0, 95.0, 99.0, 99.9);

    /** The windows that are shown, shortest first. */
    static final List<String> WINDOWS = Stream.of(BurnWindow.values())
            .flatMap(window -> Stream.of(window.shortLabel(), window.longLabel()))
            .toList();

    /** Returns how much of the fleet the report covers. */
    String coverage() {
        return answered + " of " + listed + " instances answered; the parts of instances that were replaced are lost";
    }

    /** Returns the rows by service and account. */
    List<BurnRow> rows() {
        return sum.rows().stream()
                .sorted(Comparator.comparing(BurnRow::service).thenComparing(BurnRow::account))
                .toList();
    }

    /** Returns the names of the alarms that a row raises, or {@code -}. */
    static String alarms(BurnRow row) {
        String names = Stream.of(BurnWindow.values())
                .filter(window -> window.raisesAlarm(row))
                .map(window -> window.shortLabel() + "/" + window.longLabel())
                .collect(Collectors.joining(","));
        return names.isEmpty() ? "-" : names;
    }

    /** Returns percentiles of a time in milliseconds. */
    static List<Long> percentiles(Histogram histogram) {
        return PERCENTILES.stream().map(histogram::getValueAtPercentile).toList();
    }
}
