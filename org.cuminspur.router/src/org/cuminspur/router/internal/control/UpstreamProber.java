package org.cuminspur.router.internal.control;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.control.UpstreamRecord;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.client.HttpResponseStream;
import org.cuminspur.http.client.LoadHeader;
import org.cuminspur.routing.UpstreamTracker;
import org.cuminspur.time.Clock;

/**
 * Probes upstreams for their load and updates their trackers.
 *
 * <p>Thread-safe. Probes run on a small pool of threads; a probe that finds the pool's queue full is dropped, since the
 * next one follows soon.
 */
final class UpstreamProber implements AutoCloseable {
    private static final int THREADS = 2;
    private static final int MAX_QUEUED_PROBES = 256;
    private static final long TIMEOUT_MS = 500;
    private static final int SERVER_ERROR = 500;

    private final HttpClient http;
    private final Clock clock;
    private final ThreadPoolExecutor executor;

    UpstreamProber(HttpClient http, Clock clock) {
        this.http = http;
        this.clock = clock;
        executor = new ThreadPoolExecutor(
                THREADS, THREADS, 0, TimeUnit.MILLISECONDS, new ArrayBlockingQueue<>(MAX_QUEUED_PROBES), task -> {
                    Thread thread = new Thread(task, "upstream-prober");
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /** Starts a probe without waiting for its result. */
    void probe(UpstreamRecord upstream) {
        HttpCall call =
                HttpCall.get(upstream.listed().host(), upstream.listed().port(ListedInstance.HTTP_PORT), "/load");
        UpstreamTracker tracker = upstream.tracker();
        try {
            executor.execute(() -> run(call, tracker));
        } catch (RejectedExecutionException e) {
            tracker.recordDroppedProbe();
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private void run(HttpCall call, UpstreamTracker tracker) {
        http.open(call, TIMEOUT_MS).forEach(stream -> {
            try (stream) {
                read(stream, tracker);
            }
        });
    }

    private void read(HttpResponseStream stream, UpstreamTracker tracker) {
        if (stream.status() < SERVER_ERROR) {
            tracker.recordAnswer();
        }
        LoadHeader.read(stream).forEach(report -> tracker.recordReport(report, clock.millis()));
        // The connection can be reused only once the body has been read to its end.
        while (stream.next(TIMEOUT_MS).exists(chunk -> chunk.length > 0)) {
            continue;
        }
    }
}
