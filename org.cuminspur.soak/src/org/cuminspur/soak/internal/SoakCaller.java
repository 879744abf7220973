package org.cuminspur.soak.internal;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminspur.soak.internal.History.Call;
import org.cuminspur.soak.internal.History.End;
import org.cuminspur.soak.internal.History.Kind;
import org.cuminspur.soak.internal.History.Prompt;
import org.cuminspur.soak.internal.History.Resumption;
import org.cuminspur.standin.users.StandinCaller;

/**
 * One caller, which sends request after request and keeps its connection until that ends; runs on a thread of its own.
 *
 * <p>An instance is chosen anew for each connection, as the balancer does: one that is ready, if there is any.
 */
final class SoakCaller implements Runnable {
    /** How long a caller waits for an answer; upstreams are told, and so are the routes. */
    static final long PATIENCE_MS = 3_000;

    /** Time that an answer may take beyond the caller's patience, so that a late one is still seen. */
    private static final long LATE_MS = 500;

    private static final long LONGEST_PAUSE_MS = 120;

    /** Share of requests that bear the key that was dropped last. */
    private static final double WITH_DROPPED_KEY = 0.08;

    /** Share of streams with the part that crashes upstreams, while there is one. */
    private static final double WITH_CRASHING_PART = 0.1;

    /** Share of repeats of the request that crashes upstreams, while there is one. */
    private static final double CRASHING_REPEATS = 0.1;

    private static final int FIRST_PARTS = 12;

    /** Share of requests after which the caller takes another connection. */
    private static final double RECONNECTS = 0.05;

    /** Body of requests that come again and again. */
    private static final String REPEATED_BODY = "{}";

    private static final String EVENT_ID = "id: ";
    private static final int OK = 200;

    private final String name;
    private final List<RouterProcess> instances;
    private final Operator operator;
    private final CrashCause crashingPart;
    private final CrashCause crashingRequest;
    private final History history;
    private final RandomGenerator random;
    private StandinCaller connection;
    private RouterProcess instance;
    private int count;
    private volatile boolean stopped;

    SoakCaller(
            String name,
            List<RouterProcess> instances,
            Operator operator,
            CrashCause crashingPart,
            CrashCause crashingRequest,
            History history,
            RandomGenerator random) {
        this.crashingPart = crashingPart;
        this.crashingRequest = crashingRequest;
        this.name = name;
        this.instances = instances;
        this.operator = operator;
        this.history = history;
        this.random = random;
    }

    /** Ends the caller after its present request. */
    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        while (!stopped) {
            request();
            if (random.nextDouble() < RECONNECTS) {
                drop();
            }
            try {
                TimeUnit.MILLISECONDS.sleep((long) (random.nextDouble() * LONGEST_PAUSE_MS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        drop();
    }

    private void request() {
        String id = name + "-" + ++count;
        Optional<String> crashing = crashingRequest.current();
        if (crashing.isPresent() && random.nextDouble() < CRASHING_REPEATS) {
            Kind fixed = Kind.values()[Math.floorMod(crashing.get().hashCode(), Kind.values().length)];
            send(fixed, id, id, 0, 0, crashing, fixed.path() + crashing.get(), REPEATED_BODY);
            return;
        }
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        int received = request(kind, id, id, 0);
        if (kind.resumes() && received > 0 && !stopped) {
            request(kind, name + "-" + ++count, id, received);
        }
    }

    /**
     * Sends a request; returns the number of the last whole event received of a stream that was cut, otherwise 0.
     *
     * @param stream id of the request that brought the first event
     * @param after number of the event after which the stream is resumed, 0 for a new one
     */
    private int request(Kind kind, String id, String stream, int after) {
        Optional<String> crashing =
                kind.stream() && random.nextDouble() < WITH_CRASHING_PART ? crashingPart.current() : Optional.empty();
        String body = kind == Kind.LOOK ? REPEATED_BODY : id;
        return send(kind, id, stream, after, random.nextInt(FIRST_PARTS), crashing, kind.path(), body);
    }

    private int send(
            Kind kind,
            String id,
            String stream,
            int after,
            int firstPart,
            Optional<String> crashing,
            String path,
            String body) {
        List<String> keys = operator.keys();
        String key = random.nextDouble() < WITH_DROPPED_KEY ? keys.get(2) : keys.get(random.nextInt(2));
        long sent = history.now();
        int start = 0;
        int received = 0;
        Optional<String> crashingInPrompt = path.equals(kind.path()) ? crashing : Optional.empty();
        End end = End.NOT_SENT;
        StandinCaller.Answer answer = null;
        try {
            if (connection == null) {
                instance = choose();
                connection = new StandinCaller(instance.callersLink().port(), (int) (PATIENCE_MS + LATE_MS));
            }
            start = instance.starts();
            sent = history.now();
            if (after > 0) {
                history.add(new Resumption(id, stream, instance.name(), sent));
            }
            end = End.CUT;
            connection.post(path, id, key, headers(firstPart, crashingInPrompt) + resumeHeaders(stream, after), body);
            answer = connection.readAnswer();
            end = End.WHOLE;
            if (answer.headContains("Connection: close")) {
                drop();
            }
        } catch (SocketTimeoutException e) {
            end = End.TIMED_OUT;
            drop();
        } catch (IOException e) {
            // A connection that ended is what the checks are about.
            received = connection == null ? 0 : lastEvent(connection.receivedBody());
            drop();
        }
        int status = answer == null ? 0 : answer.status();
        boolean own = status == OK && own(kind, id, after, answer);
        if (end != End.NOT_SENT && after == 0) {
            boolean begun = status == OK || received > 0;
            history.add(new Prompt(id, Integer.toString(firstPart), crashing.orElse(""), begun));
        }
        history.add(new Call(id, kind, instance.name(), start, key, sent, history.now(), end, status, own));
        return received;
    }

    private static String resumeHeaders(String stream, int after) {
        return after == 0 ? "" : "Last-Event-Id: " + after + "\r\nResumes: " + stream + "\r\n";
    }

    /** Returns the number of the last event that is whole in a part of a body, 0 if there is none. */
    private static int lastEvent(String body) {
        int end = body.lastIndexOf("\n\n");
        int start = end < 0 ? -1 : body.lastIndexOf(EVENT_ID, end);
        return start < 0 ? 0 : Integer.parseInt(body.substring(start + EVENT_ID.length(), body.indexOf('\n', start)));
    }

    private static boolean own(Kind kind, String id, int after, StandinCaller.Answer answer) {
        String expected = kind.stream()
                ? IntStream.rangeClosed(after + 1, SoakUpstream.EVENTS)
                        .mapToObj(number -> SoakUpstream.event(id, number))
                        .collect(Collectors.joining())
                : SoakUpstream.body(id);
        return answer.body().equals(expected);
    }

    private static String headers(int firstPart, Optional<String> crashing) {
        return StandinCaller.deadlineHeader(PATIENCE_MS) + StandinCaller.promptHeaders(firstPart, crashing);
    }

    private RouterProcess choose() {
        List<RouterProcess> ready =
                instances.stream().filter(RouterProcess::ready).toList();
        List<RouterProcess> from = ready.isEmpty() ? instances : ready;
        return from.get(random.nextInt(from.size()));
    }

    private void drop() {
        if (connection != null) {
            try {
                connection.close();
            } catch (IOException e) {
                // It is gone already, which is all that is wanted.
            }
            connection = null;
        }
    }
}
