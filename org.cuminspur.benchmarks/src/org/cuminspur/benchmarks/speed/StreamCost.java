package org.cuminspur.benchmarks.speed;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.IntStream;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.http.LogSetup;
import org.cuminspur.http.client.CallFault;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.client.HttpHeader;
import org.cuminspur.http.client.HttpResponseStream;
import org.cuminspur.routing.RouteTable;
import org.cuminspur.standin.fleet.LocalFleet;
import org.cuminspur.time.Clock;

/**
 * Measures what streams in progress cost a router: processor time a token and memory a stream.
 *
 * <p>Prints tab-separated lines: measure, streams, value, unit.
 */
public final class StreamCost {
    private static final String KEY = "benchmark-key";
    private static final int TOKENS = 100;
    private static final int TOKEN_MS = 42;
    private static final long TIMEOUT_MS = 60_000;

    private final LocalFleet fleet = new LocalFleet();
    private final HttpClient http = new HttpClient(Clock.system(), 2, TIMEOUT_MS);

    private StreamCost() {}

    /** Runs the measurement. */
    public static void main(String[] args) throws InterruptedException {
        LogSetup.useLogbackFile("standin-logback.xml");
        StreamCost run = new StreamCost();
        try {
            run.measure();
        } finally {
            run.fleet.close();
            run.http.close();
        }
        System.exit(0);
    }

    private void measure() throws InterruptedException {
        IntStream.range(0, 2)
                .forEach(number -> fleet.startUpstream(
                        "engine",
                        "engine-" + number,
                        "chat",
                        "a",
                        "--answer-tokens",
                        Integer.toString(TOKENS),
                        "--answer-token-ms",
                        Integer.toString(TOKEN_MS),
                        "--slots",
                        "256"));
        int port = fleet.startRouter("router-1", "a").port(ListedInstance.HTTP_PORT);
        publish();
        streams(port, 10);
        for (int count : List.of(10, 40, 170)) {
            long cpu = cpuMillis();
            long pieces = streams(port, count);
            line("tokens relayed", count, pieces, "tokens");
            line("processor time a token", count, (cpuMillis() - cpu) * 1_000.0 / pieces, "us");
            line("resident memory", count, residentKilobytes() / 1_024.0, "MB");
        }
    }

    private long streams(int port, int count) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(count);
        LongAdder tokens = new LongAdder();
        IntStream.range(0, count).forEach(number -> new Thread(() -> stream(port, number, tokens, done)).start());
        done.await();
        return tokens.sum();
    }

    private void stream(int port, int number, LongAdder tokens, CountDownLatch done) {
        String body =
                "{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"q" + number + "\"}]}";
        HttpCall call = new HttpCall(
                "POST",
                "127.0.0.1",
                port,
                "/v1/chat/completions",
                List.of(
                        new HttpHeader("Authorization", "Bearer " + KEY),
                        new HttpHeader("Content-Type", "application/json")),
                body.getBytes(StandardCharsets.UTF_8),
                true);
        http.open(call, TIMEOUT_MS).forEach(stream -> tokens.add(countEvents(stream)));
        done.countDown();
    }

    private static long countEvents(HttpResponseStream stream) {
        StringBuilder text = new StringBuilder();
        try (stream) {
            Either<CallFault, byte[]> piece = stream.next(TIMEOUT_MS);
            while (piece.isRight() && piece.get().length > 0) {
                text.append(new String(piece.get(), StandardCharsets.UTF_8));
                piece = stream.next(TIMEOUT_MS);
            }
        }
        return text.toString().lines().filter(line -> line.startsWith("id:")).count();
    }

    private void publish() {
        String text = "[service chat]\nslots = 256\n[route chat]\nservice = chat\npath = /v1/chat/completions\n"
                + "[account caller]\nrate = 1000000\nconcurrent = 1000000\nkey-sha256 = " + RouteTable.sha256(KEY)
                + "\n";
        fleet.publish("chat", text);
    }

    private long cpuMillis() {
        return ProcessHandle.of(routerPid())
                .flatMap(process -> process.info().totalCpuDuration())
                .map(Duration::toMillis)
                .orElseThrow();
    }

    private long residentKilobytes() {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(routerPid()), "status")).stream()
                    .filter(line -> line.startsWith("VmRSS:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                    .findFirst()
                    .orElseThrow();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private long routerPid() {
        return fleet.process("router-1").pid();
    }

    private static void line(String measure, int streams, double value, String unit) {
        System.out.printf("%s\t%d\t%.1f\t%s%n", measure, streams, value, unit);
    }
}
