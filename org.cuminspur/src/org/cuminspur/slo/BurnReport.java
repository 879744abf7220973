package org.cuminspur.slo;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.ServiceId;

/**
 * How one or several instances met the objectives of services.
 *
 * <p>Not modified once built, but not thread-safe, since its histograms are mutable.
 *
 * @param sinceMillis when the youngest instance began to record
 * @param dropped outcomes that were not counted, since there were too many services and accounts
 */
public record BurnReport(long sinceMillis, long dropped, List<BurnRow> rows, Map<ServiceId, Latency> latencies) {
    /** An empty report. */
    public static final BurnReport EMPTY = new BurnReport(0, 0, List.of(), Map.of());

    private static final AccountId ALL_ACCOUNTS = new AccountId("all");

    /** Times of one service since its instances began to record, in milliseconds. */
    public record Latency(Histogram firstToken, Histogram betweenTokens) {
        Latency plus(Latency other) {
            Histogram first = firstToken.copy();
            first.add(other.firstToken);
            Histogram between = betweenTokens.copy();
            between.add(other.betweenTokens);
            return new Latency(first, between);
        }
    }

    /** Returns the sum of the reports of two sets of instances. */
    public BurnReport plus(BurnReport other) {
        List<BurnRow> sums = Stream.of(rows, other.rows)
                .flatMap(List::stream)
                .collect(Collectors.toMap(BurnReport::sortKey, Function.identity(), BurnRow::plus, TreeMap::new))
                .values()
                .stream()
                .toList();
        Map<ServiceId, Latency> merged = Stream.of(latencies, other.latencies)
                .flatMap(each -> each.entrySet().stream())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, Latency::plus, TreeMap::new));
        return new BurnReport(Math.max(sinceMillis, other.sinceMillis), dropped + other.dropped, sums, merged);
    }

    /** Returns one row for each service over all its accounts. */
    public List<BurnRow> serviceRows() {
        return rows.stream()
                .collect(Collectors.toMap(BurnRow::service, Function.identity(), BurnRow::plus, TreeMap::new))
                .values()
                .stream()
                .map(row -> new BurnRow(row.service(), ALL_ACCOUNTS, row.targetShare(), row.counts()))
                .toList();
    }

    private static String sortKey(BurnRow row) {
        return row.service() + "/" + row.account();
    }
}
