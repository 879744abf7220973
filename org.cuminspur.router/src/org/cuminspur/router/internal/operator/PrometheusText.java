package org.cuminspur.router.internal.operator;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/** Writes metrics in the Prometheus text format; stateless and thread-safe. */
public final class PrometheusText {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private PrometheusText() {}

    /** Returns the current values of all metrics. */
    public static String format(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder();
        BiConsumer<String, Number> line =
                (name, value) -> text.append(name).append(' ').append(value).append('\n');
        metrics.getCounters().forEach((name, counter) -> writeCounter(name, counter, line));
        metrics.getMeters().forEach((name, meter) -> writeMeter(name, meter, line));
        metrics.getTimers().forEach((name, timer) -> writeTimer(name, timer, line));
        metrics.getGauges().forEach((name, gauge) -> writeGauge(name, gauge, line));
        return text.toString();
    }

    private static void writeCounter(String name, Counter counter, BiConsumer<String, Number> line) {
        line.accept(metricName(name) + "_total", counter.getCount());
    }

    private static void writeMeter(String name, Meter meter, BiConsumer<String, Number> line) {
        line.accept(metricName(name) + "_total", meter.getCount());
    }

    private static void writeTimer(String name, Timer timer, BiConsumer<String, Number> line) {
        line.accept(metricName(name) + "_seconds_count", timer.getCount());
        line.accept(
                metricName(name) + "_seconds{quantile=\"0.5\"}",
                timer.getSnapshot().getMedian() / NANOS_PER_SECOND);
        line.accept(
                metricName(name) + "_seconds{quantile=\"0.99\"}",
                timer.getSnapshot().get99thPercentile() / NANOS_PER_SECOND);
    }

    private static void writeGauge(String name, Gauge<?> gauge, BiConsumer<String, Number> line) {
        if (gauge.getValue() instanceof Number value) {
            line.accept(metricName(name), value);
        }
    }

    private static String metricName(String name) {
        return "cuminspur_" + name.replaceAll("[^a-zA-Z0-9]", "_");
    }
}
