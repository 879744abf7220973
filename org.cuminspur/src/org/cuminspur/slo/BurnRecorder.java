package org.cuminspur.slo;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.cuminspur.config.Objective;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.time.Clock;

/**
 * Records how one instance serves each service and client account.
 *
 * <p>Thread-safe. Memory is bounded: counts for a number of pairs of service and account, histograms for a number of
 * services; outcomes beyond these are counted as dropped.
 */
public final class BurnRecorder implements RequestObserver {
    private static final int MAX_PAIRS = 4_096;
    private static final int MAX_SERVICES = 256;
    private static final long MAX_TIME_MS = 600_000;
    private static final int SIGNIFICANT_DIGITS = 2;

    private record Pair(ServiceId service, AccountId account) {}

    private static final class Recording {
        private final MinuteBuckets buckets = new MinuteBuckets();
        private volatile Objective objective;
    }

    private final Clock clock;
    private final long sinceMillis;
    private final ConcurrentMap<Pair, Recording> recordings = new ConcurrentHashMap<>();
    private final ConcurrentMap<ServiceId, BurnReport.Latency> latencies = new ConcurrentHashMap<>();
    private final LongAdder dropped = new LongAdder();

    public BurnRecorder(Clock clock) {
        this.clock = clock;
        this.sinceMillis = clock.millis();
    }

    @Override
    public void observe(RequestOutcome outcome) {
        Pair pair = new Pair(outcome.service(), outcome.account());
        Recording recording = getOrCreate(recordings, pair, MAX_PAIRS, Recording::new);
        BurnReport.Latency latency = getOrCreate(latencies, outcome.service(), MAX_SERVICES, BurnRecorder::newLatency);
        if (recording == null || latency == null) {
            dropped.increment();
            return;
        }
        recording.objective = outcome.objective();
        recording.buckets.add(outcome.meetsObjective(), clock.millis());
        record(latency.firstToken(), outcome.firstTokenMillis());
        record(latency.betweenTokens(), Math.round(outcome.betweenTokensMillis()));
    }

    /** Returns a report of the outcomes so far. */
    public BurnReport report() {
        Map<ServiceId, BurnReport.Latency> copies = latencies.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, entry -> copy(entry.getValue())));
        return new BurnReport(sinceMillis, dropped.sum(), rows(), copies);
    }

    /** Returns the number of pairs of service and account for which a window raises the alarm. */
    public long alarmCount(BurnWindow window) {
        return rows().stream().filter(window::raisesAlarm).count();
    }

    private List<BurnRow> rows() {
        long now = clock.millis();
        return recordings.entrySet().stream()
                .filter(entry -> entry.getValue().objective != null)
                .map(entry -> toRow(entry.getKey(), entry.getValue(), now))
                .toList();
    }

    private static BurnRow toRow(Pair pair, Recording recording, long now) {
        Map<String, RequestCounts> counts = Stream.of(BurnWindow.values())
                .flatMap(window -> Stream.of(
                        Map.entry(window.shortLabel(), recording.buckets.sumOfLast(window.shortMillis(), now)),
                        Map.entry(window.longLabel(), recording.buckets.sumOfLast(window.longMillis(), now))))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        return new BurnRow(pair.service(), pair.account(), recording.objective.targetShare(), counts);
    }

    private static <K, V> V getOrCreate(ConcurrentMap<K, V> map, K key, int max, Supplier<V> create) {
        V value = map.get(key);
        return value != null || map.size() >= max ? value : map.computeIfAbsent(key, absent -> create.get());
    }

    private static BurnReport.Latency newLatency() {
        return new BurnReport.Latency(
                new ConcurrentHistogram(MAX_TIME_MS, SIGNIFICANT_DIGITS),
                new ConcurrentHistogram(MAX_TIME_MS, SIGNIFICANT_DIGITS));
    }

    private static BurnReport.Latency copy(BurnReport.Latency latency) {
        return new BurnReport.Latency(
                latency.firstToken().copy(), latency.betweenTokens().copy());
    }

    private static void record(Histogram histogram, long millis) {
        if (millis >= 0) {
            histogram.recordValue(Math.min(millis, MAX_TIME_MS));
        }
    }
}
