package org.cuminspur.router;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpHeader;
import org.cuminspur.http.client.HttpResponse;
import org.cuminspur.http.client.HttpResponseStream;
import org.cuminspur.pgm.ExitCode;
import org.cuminspur.pgm.Main;
import org.cuminspur.routing.RouteTable;
import org.cuminspur.standin.fleet.LocalFleet;

/** A local fleet of one router with a published configuration, and helpers to send requests to it. */
final class RouterFleetFixture implements AutoCloseable {
    private static final String KEY = "buyer-desk-key";
    private static final long TIMEOUT_MS = 20_000;

    private final LocalFleet fleet = new LocalFleet();
    private ListedInstance router;

    LocalFleet processes() {
        return fleet;
    }

    /** Starts a router that routes {@code /v1} to engines, {@code /stock}, {@code /lots} and {@code /orders} to plain services. */
    void start(String... settings) {
        router = fleet.startRouter("router-1", "noord-a", settings);
        String path = fleet.writeServiceFile(
                        "all",
                        String.join(
                                "\n",
                                "[service appraisal]",
                                "kind = engine",
                                "[service stock]",
                                "kind = plain",
                                "[route drafts]",
                                "service = appraisal",
                                "path = /v1/chat/completions",
                                "[route quick-drafts]",
                                "service = appraisal",
                                "path = /v1/chat/completions",
                                "model = quick",
                                "deadline = 1s",
                                "[route stock]",
                                "service = stock",
                                "path = /stock",
                                "[route lots]",
                                "service = stock",
                                "path = /lots",
                                "deadline = 1s",
                                "[route orders]",
                                "service = stock",
                                "path = /orders",
                                "idempotent = no",
                                "[domain noord-a]",
                                "region = nl-noord",
                                "[account buyer-desk]",
                                "rate = 1000000",
                                "key-sha256 = " + RouteTable.sha256(KEY)))
                .toString();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        String settingsFile = fleet.writeOperatorSettings().toString();
        ExitCode code = Main.run(stream, System.err, "publish", "--settings", settingsFile, path);
        assertEquals(code, ExitCode.DONE, out.toString(StandardCharsets.UTF_8));
    }

    ListedInstance router() {
        return router;
    }

    int callerPort() {
        return router.port(ListedInstance.HTTP_PORT);
    }

    /** Sends a request and returns the complete answer. */
    HttpResponse request(String method, String path, String body) {
        return fleet.call(method, callerPort(), path, body, callerHeaders());
    }

    /** Repeats a request until it is served, as it is once its upstream is in the router's snapshot. */
    void awaitServed(String method, String path, String body) {
        int calls = 0;
        while (request(method, path, body).status() != 200 && calls < 5_000) {
            calls++;
        }
    }

    /** Sends a request on its own connection and returns its answer once it starts. */
    HttpResponseStream open(String method, String path, String body) {
        HttpCall call = new HttpCall(
                method,
                "127.0.0.1",
                callerPort(),
                path,
                List.of(callerHeaders()),
                body.getBytes(StandardCharsets.UTF_8),
                true);
        return fleet.http().open(call, TIMEOUT_MS).get();
    }

    /** Reads the rest of an answer. */
    static String readToEnd(HttpResponseStream stream) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (stream) {
            for (byte[] piece = stream.next(TIMEOUT_MS).get();
                    piece.length > 0;
                    piece = stream.next(TIMEOUT_MS).get()) {
                body.writeBytes(piece);
            }
        }
        return body.toString(StandardCharsets.UTF_8);
    }

    static String nextPiece(HttpResponseStream stream) {
        return new String(stream.next(TIMEOUT_MS).get(), StandardCharsets.UTF_8);
    }

    /** Returns the value of a counter of the router, 0 if it is not exported yet. */
    int counter(String name) {
        String text = fleet.call(
                        "GET",
                        router.port(ListedInstance.OPERATOR_PORT),
                        "/metrics",
                        "",
                        new HttpHeader("Authorization", "Bearer " + LocalFleet.OPERATOR_KEY))
                .text();
        return text.lines()
                .filter(line -> line.startsWith("cuminspur_" + name + "_total "))
                .mapToInt(line -> Integer.parseInt(line.substring(line.indexOf(' ') + 1)))
                .findFirst()
                .orElse(0);
    }

    /** Returns a chat request; its answer has different tokens than that of any other message. */
    static String chatRequest(String message) {
        return "{\"model\":\"appraisal\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"" + message
                + "\"}]}";
    }

    /** Returns the tokens with which the stand-in engine answers a chat. */
    static String expectedTokens(String message, int count) {
        String word = "t" + Integer.toHexString(message.hashCode());
        return IntStream.range(0, count).mapToObj(i -> word + "-" + i + " ").collect(Collectors.joining());
    }

    /** Returns the tokens in the events of a stream. */
    static String tokensIn(String stream) {
        return stream.lines()
                .filter(line -> line.contains("\"content\":\""))
                .map(line -> line.replaceAll(".*\"content\":\"([^\"]*)\".*", "$1"))
                .collect(Collectors.joining());
    }

    static HttpHeader[] callerHeaders() {
        return new HttpHeader[] {
            new HttpHeader("Authorization", "Bearer " + KEY), new HttpHeader("Content-Type", "application/json")
        };
    }

    @Override
    public void close() {
        fleet.close();
    }
}
