package org.cuminspur.standin.users;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cuminspur.standin.Delays;
import org.cuminspur.standin.raw.RawUpstream;

/**
 * Stands in for a server on the deployment platform, with a replaceable behaviour; thread-safe.
 *
 * <p>Records every request that it executes. A request for another server gets a 421, as on the platform.
 */
public final class StandinServer implements AutoCloseable {
    /** Header line of a server that leaves. */
    public static final String LEAVING_HEADER = "Server-Leaving: 1\r\n";

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Answers one request on its connection; returns whether the connection stays open. */
    @FunctionalInterface
    public interface Behaviour {
        boolean answer(RawUpstream.Connection connection, Request request) throws IOException;
    }

    /** The head of a received request; immutable. */
    public record Request(String head) {
        /** Returns the value of a header, empty if it is absent. */
        public String header(String name) {
            String wanted = name.toLowerCase(Locale.ROOT) + ":";
            return head.lines()
                    .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(wanted))
                    .map(line -> line.substring(wanted.length()).strip())
                    .findFirst()
                    .orElse("");
        }

        public String id() {
            return header("Attempt-Id");
        }

        /** Returns the client account that the request names. */
        public String account() {
            return header("Tenant");
        }

        /** Returns the request's remaining time in milliseconds, 0 if it names none. */
        public long deadlineMillis() {
            String left = header("Deadline-Ms");
            return left.isEmpty() ? 0 : Long.parseLong(left);
        }

        /** Returns the parts of the prompt as the request lists them, empty if it lists none. */
        public String promptParts() {
            return header("Prompt-Prefix");
        }

        /** Returns the number of the event after which to resume the stream, 0 for a new stream. */
        public int lastEventId() {
            String after = header("Last-Event-Id");
            return after.isEmpty() ? 0 : Integer.parseInt(after);
        }

        /** Returns the path, with the query. */
        public String path() {
            return head.split(" ", 3)[1];
        }
    }

    private final String id;
    private final RawUpstream server;
    private final List<Request> executedRequests = new CopyOnWriteArrayList<>();
    private volatile Behaviour behaviour;
    private volatile boolean readsBodies = true;

    public StandinServer(String id, Behaviour behaviour) {
        this.id = id;
        this.behaviour = behaviour;
        server = new RawUpstream(this::serve);
    }

    public int port() {
        return server.port();
    }

    /** Returns the requests passed to the behaviour, in order. */
    public List<Request> executedRequests() {
        return List.copyOf(executedRequests);
    }

    /** Limits what the kernel takes of each later connection before it is read. */
    public void limitReceiveBuffer(int bytes) {
        server.limitReceiveBuffer(bytes);
    }

    /** Returns the number of connections accepted. */
    public int connections() {
        return server.connectionCount();
    }

    /** Replaces the behaviour for later requests. */
    public void setBehaviour(Behaviour next) {
        readsBodies = true;
        behaviour = next;
    }

    /** Replaces the behaviour for later requests by one that runs before their bodies are read. */
    public void setEarlyBehaviour(Behaviour next) {
        readsBodies = false;
        behaviour = next;
    }

    @Override
    public void close() {
        server.close();
    }

    /** Ends all connections and refuses new ones, as the end of a process does. */
    public void crash() {
        server.crash();
    }

    /** Answers with a body of known length. */
    public static Behaviour plainAnswer(String body) {
        return (connection, request) -> {
            connection.send(answerHead(200, request, "Content-Length: " + body.length() + "\r\n") + body);
            return true;
        };
    }

    /** Answers an executed request with an error status. */
    public static Behaviour failureAnswer(int status) {
        return (connection, request) -> {
            connection.send(answerHead(status, request, "Content-Length: 3\r\n") + "bad");
            return true;
        };
    }

    /** Answers 503 with {@code Not-Executed}, as a full server does. */
    public static Behaviour notExecutedAnswer() {
        return turningAway("");
    }

    /** Returns a behaviour that answers that the request was not run, and that no other is wanted for a while. */
    public static Behaviour turningAwayAnswer(long pauseMillis) {
        return turningAway("Retry-After: " + pauseMillis / MILLIS_PER_SECOND + "\r\n");
    }

    private static Behaviour turningAway(String headers) {
        return (connection, request) -> {
            connection.send("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + request.id()
                    + "\r\nNot-Executed: 1\r\n" + headers + "Content-Length: 0\r\n\r\n");
            return true;
        };
    }

    /** Answers with a stream of events that resumes after the request's last event. */
    public static Behaviour eventStream(int events) {
        return (connection, request) -> {
            int first = request.lastEventId() + 1;
            connection.send(
                    answerHead(200, request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
            for (int event = first; event <= events; event++) {
                sendChunk(connection, eventText(event));
            }
            connection.send("0\r\n\r\n");
            return true;
        };
    }

    /** Answers with a stream that pauses {@code gapMillis} after each event. */
    public static Behaviour pacedEventStream(int events, long gapMillis) {
        return (connection, request) -> {
            connection.send(
                    answerHead(200, request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
            for (int event = 1; event <= events; event++) {
                sendChunk(connection, eventText(event));
                Delays.sleepMillis(gapMillis);
            }
            connection.send("0\r\n\r\n");
            return true;
        };
    }

    /** Returns an event of a stream. */
    public static String eventText(int number) {
        return "id: " + number + "\ndata: token-" + number + "\n\n";
    }

    /** Sends one chunk of a chunked body. */
    public static void sendChunk(RawUpstream.Connection connection, String text) throws IOException {
        connection.send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Returns the header line by which an answer names the requests a second that the server takes. */
    public static String limitHeader(double requestsPerSecond) {
        return "Server-Limit: " + requestsPerSecond + "\r\n";
    }

    /** Returns the header lines by which an answer names its request and bears a signature. */
    public static String signedHeaders(Request request) {
        return "Attempt-Id: " + request.id() + "\r\nResponse-Signature: signed\r\n";
    }

    /** Returns the head of a signed answer to a request. */
    public static String answerHead(int status, Request request, String headers) {
        return "HTTP/1.1 " + status + " Any\r\n" + signedHeaders(request) + "Server-Load: 1,0,8\r\n" + headers + "\r\n";
    }

    private void serve(RawUpstream.Connection connection) throws IOException {
        String head = read(connection);
        while (!head.isEmpty()) {
            Request request = new Request(head);
            String target = request.header("Target-Instance");
            if (!target.isEmpty() && !target.equals(id)) {
                connection.send("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id + "\r\nAttempt-Id: "
                        + request.id() + "\r\nContent-Length: 0\r\n\r\n");
            } else {
                executedRequests.add(request);
                if (!behaviour.answer(connection, request)) {
                    return;
                }
            }
            head = read(connection);
        }
    }

    private String read(RawUpstream.Connection connection) throws IOException {
        return readsBodies ? connection.readRequest() : connection.readHead();
    }
}
