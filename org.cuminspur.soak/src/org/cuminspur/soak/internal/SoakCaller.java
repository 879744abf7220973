package org.cuminspur.soak.internal;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminspur.soak.internal.History.Call;
import org.cuminspur.soak.internal.History.End;
import org.cuminspur.soak.internal.History.Kind;
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

    /** Share of requests after which the caller takes another connection. */
    private static final double RECONNECTS = 0.05;

    private static final int OK = 200;

    private final String name;
    private final List<RouterProcess> instances;
    private final Operator operator;
    private final History history;
    private final RandomGenerator random;
    private StandinCaller connection;
    private RouterProcess instance;
    private int count;
    private volatile boolean stopped;

    SoakCaller(String name, List<RouterProcess> instances, Operator operator, History history, RandomGenerator random) {
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
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        List<String> keys = operator.keys();
        String key = random.nextDouble() < WITH_DROPPED_KEY ? keys.get(2) : keys.get(random.nextInt(2));
        long sent = history.now();
        int start = 0;
        End end = End.NOT_SENT;
        StandinCaller.Answer answer = null;
        try {
            if (connection == null) {
                instance = choose();
                connection = new StandinCaller(instance.callersLink().port(), (int) (PATIENCE_MS + LATE_MS));
            }
            start = instance.starts();
            sent = history.now();
            end = End.CUT;
            connection.post(kind.path(), id, key, headers());
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
            drop();
        }
        int status = answer == null ? 0 : answer.status();
        boolean own = status == OK && own(kind, id, answer);
        history.add(new Call(id, kind, instance.name(), start, key, sent, history.now(), end, status, own));
    }

    private static boolean own(Kind kind, String id, StandinCaller.Answer answer) {
        String expected = kind.stream()
                ? IntStream.rangeClosed(1, SoakUpstream.EVENTS)
                        .mapToObj(number -> SoakUpstream.event(id, number))
                        .collect(Collectors.joining())
                : SoakUpstream.body(id);
        return answer.body().equals(expected);
    }

    private String headers() {
        return StandinCaller.deadlineHeader(PATIENCE_MS) + StandinCaller.promptHeaders(random.nextInt(12));
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
