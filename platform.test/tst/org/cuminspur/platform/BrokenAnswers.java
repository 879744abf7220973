package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminspur.standin.raw.RawUpstream;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;

/**
 * An instance whose servers answer the first run of a request as a test says, and later ones soundly.
 *
 * <p>Used by one thread.
 */
final class BrokenAnswers implements AutoCloseable {
    static final int EVENTS = 20;

    /** What a caller gets that has to take its answer for incomplete. */
    static final String CUT = "cut";

    private static final int BAD_GATEWAY = 502;
    private static final String SOUND_BODY = "done";
    private static final int SUCCESSES_BEFORE_CASE = 10;

    final Deployment deployment = new Deployment();
    private final AtomicInteger requests = new AtomicInteger();
    private final List<RawUpstream.End> connectionEnds = new CopyOnWriteArrayList<>();
    private String id = "";

    /** Keeps failures of earlier cases from ejecting a server or using up the retry budget. */
    void serveSuccessfully(RequestKind kind) {
        setBehaviour(kind, soundAnswer(kind));
        for (int i = 0; i < SUCCESSES_BEFORE_CASE; i++) {
            assertEquals(deployment.status(kind.path("sound")), 200);
        }
        connectionEnds.clear();
    }

    /** Limits what the kernel takes of a plain request before its server reads it, also on the connections there are. */
    void limitReceiveBuffers(int bytes) {
        RequestKind kind = RequestKind.UNREPEATABLE;
        servers(kind).forEach(server -> server.limitReceiveBuffer(bytes));
        setBehaviour(kind, (connection, request) -> {
            connection.sendBytes("HTTP/1.1 200 OK\r\n" + headers(kind, request) + "Content-Length: 0\r\n\r\n");
            return false;
        });
        for (int i = 0; i < SUCCESSES_BEFORE_CASE; i++) {
            request(kind);
        }
    }

    /** Answers the first run of the next request with raw bytes. */
    void answerFirst(RequestKind kind, StandinServer.Behaviour first) {
        AtomicInteger runs = new AtomicInteger();
        setBehaviour(
                kind,
                (connection, request) -> runs.getAndIncrement() == 0
                        ? first.answer(connection, request)
                        : soundAnswer(kind).answer(connection, request));
    }

    /** Answers all runs of the next request in one way. */
    void setBehaviour(RequestKind kind, StandinServer.Behaviour behaviour) {
        servers(kind).forEach(server -> server.setBehaviour(behaviour));
    }

    /** Answers all runs of the next request before its body is read. */
    void setEarlyBehaviour(RequestKind kind, StandinServer.Behaviour behaviour) {
        servers(kind).forEach(server -> server.setEarlyBehaviour(behaviour));
    }

    private List<StandinServer> servers(RequestKind kind) {
        return kind.isStream()
                ? List.of(deployment.modelA, deployment.modelB)
                : List.of(deployment.appA, deployment.appB);
    }

    /** Returns the status and body that a caller gets, or {@link #CUT} for an answer that is visibly incomplete. */
    String request(RequestKind kind) {
        return request(kind, "{}", new StringBuilder());
    }

    /**
     * Sends a request with a body.
     *
     * @param received takes the body of the answer, also of one that is incomplete
     */
    String request(RequestKind kind, String body, StringBuilder received) {
        id = "broken-" + requests.incrementAndGet();
        try (StandinCaller caller = deployment.caller()) {
            caller.post(kind.path(id), id, StandinCaller.DEFAULT_API_KEY, "", body);
            return readAnswer(caller, received);
        } catch (IOException e) {
            // The answer ended before its framing says so, or while its request was sent.
            return CUT;
        }
    }

    private static String readAnswer(StandinCaller caller, StringBuilder received) throws IOException {
        try {
            StandinCaller.Answer answer = caller.readAnswer();
            assertEquals(answer.head().toLowerCase(Locale.ROOT).indexOf("broken:"), -1, answer.head());
            return answer.status() == BAD_GATEWAY ? "502" : answer.status() + " " + answer.body();
        } finally {
            received.append(caller.receivedBody());
        }
    }

    /** Returns how often the last request ran. */
    long runs() {
        return deployment.countRuns(id);
    }

    /** Returns the events that the instance has logged on the last request. */
    List<String> logged(String event) {
        return logged().stream().filter(line -> line.startsWith(event + " ")).toList();
    }

    /** Returns all that the instance has logged on the last request. */
    List<String> logged() {
        return deployment.events.stream()
                .filter(line -> line.contains(" " + id + ","))
                .toList();
    }

    /** Records how the instance ends a server's connection, which it has to do in time. */
    void recordEnd(RawUpstream.Connection connection) throws IOException {
        connectionEnds.add(connection.awaitClose());
    }

    /** Waits until the connection of the broken answer has ended. */
    void awaitEnd() {
        Deployment.await("end of the connection", () -> !connectionEnds.isEmpty());
    }

    /** Returns what the caller of a sound answer gets. */
    static String sound(RequestKind kind) {
        return "200 " + (kind.isStream() ? events(EVENTS) : SOUND_BODY);
    }

    /** Returns what the caller gets if an answer is broken before any of it was passed on. */
    static String repeatedOrFailed(RequestKind kind) {
        return kind.mayRepeat() ? sound(kind) : "502";
    }

    static StandinServer.Behaviour soundAnswer(RequestKind kind) {
        return kind.isStream() ? StandinServer.eventStream(EVENTS) : StandinServer.plainAnswer(SOUND_BODY);
    }

    /** Returns the header lines that each answer to a request has. */
    static String headers(RequestKind kind, StandinServer.Request request) {
        return "Attempt-Id: " + request.id() + "\r\nResponse-Signature: signed\r\n" + kind.contentType();
    }

    static String events(int count) {
        return IntStream.rangeClosed(1, count)
                .mapToObj(StandinServer::eventText)
                .collect(Collectors.joining());
    }

    @Override
    public void close() {
        deployment.close();
    }
}
