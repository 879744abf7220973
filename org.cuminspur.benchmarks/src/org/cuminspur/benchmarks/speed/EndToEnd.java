package org.cuminspur.benchmarks.speed;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.http.LogSetup;
import org.cuminspur.http.client.CallFault;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.client.HttpHeader;
import org.cuminspur.http.client.HttpResponse;
import org.cuminspur.routing.RouteTable;
import org.cuminspur.standin.fleet.LocalFleet;
import org.cuminspur.time.Clock;

/**
 * Measures what a router adds to a call of a plain service, as ratios within one run.
 *
 * <p>Direct and routed rounds alternate, so that both see the same machine.
 */
public final class EndToEnd {
    private static final String KEY = "benchmark-key";
    private static final int CALLERS = 16;
    private static final int CALLS_PER_CALLER = 1_000;
    private static final int ROUNDS = 3;
    private static final long TIMEOUT_MS = 10_000;

    private final LocalFleet fleet = new LocalFleet();
    private final HttpClient http = new HttpClient(Clock.system(), 2, TIMEOUT_MS);
    private final Histogram direct = new ConcurrentHistogram(TimeUnit.SECONDS.toNanos(TIMEOUT_MS), 3);
    private final Histogram routed = new ConcurrentHistogram(TimeUnit.SECONDS.toNanos(TIMEOUT_MS), 3);

    private EndToEnd() {}

    /** Runs the measurement and prints tab-separated lines: measure, value, unit. */
    public static void main(String[] args) throws InterruptedException {
        LogSetup.useLogbackFile("standin-logback.xml");
        EndToEnd run = new EndToEnd();
        try {
            run.measure();
        } finally {
            run.fleet.close();
            run.http.close();
        }
        System.exit(0);
    }

    private void measure() throws InterruptedException {
        ListedInstance service = fleet.startUpstream("service", "stock-1", "stock", "noord-a");
        ListedInstance router = fleet.startRouter("router-1", "noord-a");
        publish();
        int direct0 = service.port(ListedInstance.HTTP_PORT);
        int routed0 = router.port(ListedInstance.HTTP_PORT);
        round(direct0, new Histogram(3));
        round(routed0, new Histogram(3));
        long seconds0 = cpuMillis();
        for (int i = 0; i < ROUNDS; i++) {
            round(direct0, direct);
            round(routed0, routed);
        }
        report(cpuMillis() - seconds0);
    }

    private void report(long routerCpuMillis) {
        double calls = routed.getTotalCount();
        line("calls routed", calls, "calls");
        line("calls failed", ROUNDS * 2L * CALLERS * CALLS_PER_CALLER - calls - direct.getTotalCount(), "calls");
        line("latency p50, routed over direct", ratio(50), "ratio");
        line("latency p99, routed over direct", ratio(99), "ratio");
        line("added latency p50", (routed.getValueAtPercentile(50) - direct.getValueAtPercentile(50)) / 1e6, "ms");
        line("router processor time a call", routerCpuMillis / calls, "ms");
        line("calls a second and core of the router", calls * 1_000 / routerCpuMillis, "calls/s");
    }

    private double ratio(double percentile) {
        return (double) routed.getValueAtPercentile(percentile) / direct.getValueAtPercentile(percentile);
    }

    private static void line(String measure, double value, String unit) {
        System.out.printf("%s\t%.3f\t%s%n", measure, value, unit);
    }

    private void publish() {
        String text = "[service stock]\nkind = plain\nslots = 64\n[route stock]\nservice = stock\npath = /stock\n"
                + "[account caller]\nrate = 1000000\nconcurrent = 1000000\nkey-sha256 = " + RouteTable.sha256(KEY)
                + "\n";
        fleet.publish("stock", text);
    }

    private long cpuMillis() {
        return ProcessHandle.of(fleet.process("router-1").pid())
                .flatMap(process -> process.info().totalCpuDuration())
                .map(Duration::toMillis)
                .orElseThrow();
    }

    private void round(int port, Histogram latencies) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(CALLERS);
        IntStream.range(0, CALLERS).forEach(caller -> new Thread(() -> calls(port, latencies, done)).start());
        done.await();
    }

    private void calls(int port, Histogram latencies, CountDownLatch done) {
        HttpCall call = new HttpCall(
                "POST",
                "127.0.0.1",
                port,
                "/stock/lot-12",
                List.of(new HttpHeader("Authorization", "Bearer " + KEY)),
                "how many bales".getBytes(StandardCharsets.UTF_8),
                false);
        for (int i = 0; i < CALLS_PER_CALLER; i++) {
            long start = System.nanoTime();
            Either<CallFault, HttpResponse> answer = http.call(call, TIMEOUT_MS);
            if (answer.exists(HttpResponse::succeeded)) {
                synchronized (latencies) {
                    latencies.recordValue(System.nanoTime() - start);
                }
            }
        }
        done.countDown();
    }
}
