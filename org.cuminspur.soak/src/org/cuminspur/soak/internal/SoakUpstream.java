package org.cuminspur.soak.internal;

import java.io.IOException;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import org.cuminspur.soak.internal.History.Change;
import org.cuminspur.soak.internal.History.Crash;
import org.cuminspur.soak.internal.History.Kind;
import org.cuminspur.soak.internal.History.Run;
import org.cuminspur.soak.internal.History.Said;
import org.cuminspur.soak.internal.History.Withdrawal;
import org.cuminspur.soak.internal.History.Withdraws;
import org.cuminspur.standin.Delays;
import org.cuminspur.standin.raw.RawUpstream.Connection;
import org.cuminspur.standin.users.StandinServer;

/**
 * An upstream that records what it runs and spoils its answers as it is told; thread-safe.
 *
 * <p>Every answer holds the id of its request, so that a caller can tell its own from any other.
 */
final class SoakUpstream implements AutoCloseable {
    /** How requests are met. */
    enum Mode {
        SOUND,
        /** Each request takes longer. */
        SLOW,
        /** Runs a request and answers with a failure. */
        ERRORS,
        /** Runs a request and closes the connection without an answer. */
        LOSES_ANSWERS,
        /** Breaks off in the middle of an answer, or sends one that is no valid response. */
        GARBLES,
        /** Answers twice. */
        EXTRA_ANSWERS,
        /** Says that it has not run a request. */
        FULL,
        /** Says that it has not run a request, and wants no other for a while. */
        TURNS_AWAY
    }

    static final int EVENTS = 8;

    /** Requests a second that an upstream names as its limit; a fraction of what it gets otherwise. */
    static final double LIMIT_PER_SECOND = 3.5;

    /** Time for which an upstream that turns a request away wants no other from that instance. */
    private static final long PAUSE_MS = 1_500;

    private static final long EVENT_GAP_MS = 25;
    private static final long WORK_MS = 15;
    private static final long SLOW_MS = 700;

    /** One request in this many is met in another mode than the usual one, so that few callers see only failures. */
    static final int SPOILED_EVERY = 2;

    private final String id;
    private final String domain;
    private final String version;
    private final History history;
    private final StandinServer server;
    private final FaultProxy link;
    private final Consumer<SoakUpstream> onCrash;
    private volatile Mode mode = Mode.SOUND;
    private volatile String limitHeader = "";
    private volatile String leavingHeader = "";

    /**
     * Starts an upstream.
     *
     * @param onCrash receives it when it has ended by itself
     */
    SoakUpstream(String id, String domain, String version, History history, Consumer<SoakUpstream> onCrash) {
        this.onCrash = onCrash;
        this.id = id;
        this.domain = domain;
        this.version = version;
        this.history = history;
        this.server = new StandinServer(id, this::answer);
        this.link = new FaultProxy(server.port());
    }

    String id() {
        return id;
    }

    String domain() {
        return domain;
    }

    String version() {
        return version;
    }

    /** Returns the link by which all instances reach it. */
    FaultProxy link() {
        return link;
    }

    void mode(Mode next) {
        mode = next;
    }

    /** Names a limit in its answers from now on, or none any more. */
    void limited(boolean named) {
        limitHeader = named ? StandinServer.limitHeader(LIMIT_PER_SECOND) : "";
        history.add(new Change(named ? Said.LIMIT_NAMED : Said.LIMIT_ENDED, id, history.now()));
    }

    /** Says in its answers from now on that it leaves. */
    void leaves() {
        leavingHeader = StandinServer.LEAVING_HEADER;
    }

    /** Returns the body of the whole answer to a request that is no stream. */
    static String body(String requestId) {
        return "done " + requestId;
    }

    /** Returns an event of the stream that answers a request. */
    static String event(String requestId, int number) {
        return "id: " + number + "\ndata: " + requestId + "-" + number + "\n\n";
    }

    @Override
    public void close() {
        link.close();
        server.close();
    }

    private boolean answer(Connection connection, StandinServer.Request request) throws IOException {
        Mode now = Math.floorMod(request.id().hashCode(), SPOILED_EVERY) == 0 ? mode : Mode.SOUND;
        if (now == Mode.FULL) {
            return StandinServer.notExecutedAnswer().answer(connection, request);
        } else if (now == Mode.TURNS_AWAY) {
            withdraw(Withdraws.TURNS_AWAY, request, history.now() + PAUSE_MS);
            return StandinServer.turningAwayAnswer(PAUSE_MS).answer(connection, request);
        }
        Kind kind = Arrays.stream(Kind.values())
                .filter(one -> request.path().startsWith(one.path()))
                .findFirst()
                .orElse(Kind.BOOK);
        boolean spoils = now != Mode.SOUND && now != Mode.SLOW;
        String resumes = request.header("Resumes");
        history.add(new Run(
                request.id(),
                kind,
                id,
                domain,
                request.account(),
                history.now(),
                request.deadlineMillis(),
                spoils,
                version,
                resumes.isEmpty() ? request.id() : resumes,
                request.lastEventId()));
        Delays.sleepMillis(now == Mode.SLOW ? SLOW_MS : WORK_MS);
        Optional<String> crashing = CrashCause.in(request.path(), request.promptParts());
        if (crashing.isPresent()) {
            crash(crashing.get());
            return false;
        } else if (now == Mode.LOSES_ANSWERS) {
            return false;
        } else if (now == Mode.ERRORS) {
            return StandinServer.failureAnswer(500).answer(connection, request);
        }
        Optional<SpoiledAnswer> spoiled = now == Mode.GARBLES ? SpoiledAnswer.choose(request.id()) : Optional.empty();
        if (spoiled.isPresent()) {
            spoil(connection, request, kind, spoiled.get());
            return false;
        }
        return kind.stream() ? stream(connection, request, now) : plain(connection, request, now);
    }

    private void spoil(Connection connection, StandinServer.Request request, Kind kind, SpoiledAnswer answer)
            throws IOException {
        String type = kind.stream() ? "Content-Type: text/event-stream\r\n" : "";
        String headers = StandinServer.signedHeaders(request) + statements(request) + type;
        answer.send(connection, headers, kind.stream() ? event(request.id(), request.lastEventId() + 1) : "");
    }

    private void withdraw(Withdraws how, StandinServer.Request request, long untilMillis) {
        history.add(new Withdrawal(how, id, request.id(), history.now(), untilMillis));
    }

    /** Returns what the answer to a request states beside it. */
    private String statements(StandinServer.Request request) {
        String leaving = leavingHeader;
        if (!leaving.isEmpty()) {
            withdraw(Withdraws.LEAVES, request, Long.MAX_VALUE);
        }
        return limitHeader + leaving;
    }

    private void crash(String cause) {
        history.add(new Crash(cause, id, history.now()));
        onCrash.accept(this);
        link.close();
        server.crash();
    }

    private boolean plain(Connection connection, StandinServer.Request request, Mode mode) throws IOException {
        String body = body(request.id());
        String whole = StandinServer.answerHead(
                        200, request, statements(request) + "Content-Length: " + body.length() + "\r\n")
                + body;
        if (mode == Mode.GARBLES) {
            connection.send(whole.substring(0, whole.length() - body.length() / 2));
            return false;
        }
        connection.send(mode == Mode.EXTRA_ANSWERS ? whole + whole : whole);
        return true;
    }

    private boolean stream(Connection connection, StandinServer.Request request, Mode mode) throws IOException {
        connection.send(StandinServer.answerHead(
                200,
                request,
                statements(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        int first = request.lastEventId() + 1;
        for (int number = first; number <= EVENTS; number++) {
            if (mode == Mode.GARBLES && number == (first + EVENTS) / 2) {
                connection.send("40\r\nid: " + number + "\nda");
                return false;
            }
            StandinServer.sendChunk(connection, event(request.id(), number));
            Delays.sleepMillis(EVENT_GAP_MS);
        }
        connection.send("0\r\n\r\n");
        return true;
    }
}
