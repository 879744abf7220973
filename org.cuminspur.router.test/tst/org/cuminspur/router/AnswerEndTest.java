package org.cuminspur.router;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.cuminspur.standin.raw.RawUpstream;
import org.cuminspur.standin.users.StandinCaller;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks for each framing and each kind of end of an upstream's answer what is taken for complete, and stored. */
public class AnswerEndTest {
    private static final String WHOLE_EVENT = "id: 1\ndata: one\n\n";
    private static final AtomicInteger KEYS = new AtomicInteger();

    private final RouterFleetFixture fleet = new RouterFleetFixture();
    private RawUpstream stock;

    /** How an upstream marks the end of its answer. */
    enum Framing {
        LENGTH,
        CHUNKED,
        UNKNOWN_ENCODING,
        CONNECTION_END;

        String head(int length) {
            return switch (this) {
                case LENGTH -> "Content-Length: " + length + "\r\n";
                case CHUNKED -> "Transfer-Encoding: chunked\r\n";
                case UNKNOWN_ENCODING -> "Transfer-Encoding: identity\r\n";
                case CONNECTION_END -> "";
            };
        }

        String encode(String body) {
            return this == CHUNKED ? Integer.toHexString(body.length()) + "\r\n" + body + "\r\n" : body;
        }
    }

    /** How an upstream ends its answer. */
    enum End {
        FRAMED,
        CLOSED_EARLY,
        RESET
    }

    /** What an upstream sends. */
    enum Content {
        PLAIN("text/plain", "plain"),
        WHOLE_EVENTS("text/event-stream", WHOLE_EVENT),
        PART_OF_EVENT("text/event-stream", WHOLE_EVENT + "id: 2\nda"),
        PART_AFTER_END_MARKER("text/event-stream", WHOLE_EVENT + "data: [DONE]\n\nid: 2\nda");

        private final String type;
        private final String body;

        Content(String type, String body) {
            this.type = type;
            this.body = body;
        }
    }

    @BeforeClass
    public void start() {
        stock = new RawUpstream(AnswerEndTest::serve);
        fleet.processes().listUpstream("stock-1", "stock", "noord-a", stock.port());
        fleet.start();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        fleet.close();
        stock.close();
    }

    /** Keeps failures of earlier cases from ejecting the upstream. */
    @BeforeMethod
    public void serveSuccessfully() {
        fleet.awaitServed("GET", path("/stock", Framing.LENGTH, End.FRAMED, Content.PLAIN), "");
    }

    @DataProvider
    public Object[][] answers() {
        return Arrays.stream(Framing.values())
                .flatMap(framing -> Arrays.stream(End.values())
                        .flatMap(end -> Arrays.stream(Content.values())
                                .flatMap(content -> Stream.of("HTTP/1.1", "HTTP/1.0")
                                        .map(protocol -> new Object[] {framing, end, content, protocol}))))
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "answers")
    public void answerIsCompleteOnlyIfItsEndIsMarkedAndOutsideAnEvent(
            Framing framing, End end, Content content, String protocol) {
        assertEquals(
                receivedBody("GET", path("/stock", framing, end, content), protocol, ""),
                isWhole(framing, end, content) ? content.body : "incomplete");
    }

    @Test(dataProvider = "answers")
    public void onlyACompleteAnswerIsReplayed(Framing framing, End end, Content content, String protocol) {
        String path = path("/orders", framing, end, content);
        String key = "Idempotency-Key: key-" + KEYS.incrementAndGet() + "\r\n";
        receivedBody("POST", path, protocol, key);
        String repeated = receivedBody("POST", path, protocol, key);
        if (isWhole(framing, end, content)) {
            assertEquals(repeated, content.body);
        } else {
            assertEquals(repeated, "incomplete");
        }
    }

    private static boolean isWhole(Framing framing, End end, Content content) {
        boolean marked = framing == Framing.LENGTH || framing == Framing.CHUNKED;
        return marked && end == End.FRAMED && (content == Content.PLAIN || content == Content.WHOLE_EVENTS);
    }

    /** Returns the body that a caller takes for complete, or "incomplete". */
    private String receivedBody(String method, String path, String protocol, String headers) {
        try (StandinCaller caller = new StandinCaller(fleet.callerPort())) {
            caller.send(RawCaller.head(method, path, 0)
                    .replace("HTTP/1.1\r\n", protocol + "\r\n" + headers + "Connection: close\r\n"));
            StandinCaller.Answer answer = caller.readAnswer();
            boolean marked = answer.body().endsWith("<reset>") || answer.body().contains("event: error\n");
            return answer.status() == 200 && !marked ? answer.body() : "incomplete";
        } catch (IOException e) {
            // An answer that ends before its framing says so.
            return "incomplete";
        }
    }

    private static String path(String prefix, Framing framing, End end, Content content) {
        return String.join("/", prefix, framing.name(), end.name(), content.name());
    }

    /** Answers in the way that the segments of the path name. */
    private static void serve(RawUpstream.Connection connection) throws IOException {
        for (String head = connection.readRequest(); !head.isEmpty(); head = connection.readRequest()) {
            String[] segments = head.split(" ")[1].split("/");
            Framing framing = Framing.valueOf(segments[2]);
            End end = End.valueOf(segments[3]);
            Content content = Content.valueOf(segments[4]);
            int missing = end == End.FRAMED ? 0 : 1;
            String last = framing == Framing.CHUNKED && end == End.FRAMED ? "0\r\n\r\n" : "";
            connection.send("HTTP/1.1 200 OK\r\nContent-Type: " + content.type + "\r\n"
                    + framing.head(content.body.length() + missing) + "\r\n" + framing.encode(content.body) + last);
            if (end == End.RESET) {
                connection.reset();
            }
            if (end != End.FRAMED || (framing != Framing.LENGTH && framing != Framing.CHUNKED)) {
                return;
            }
        }
    }
}
