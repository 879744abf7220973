package org.cuminspur.http.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.http.client.CallFault;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.client.HttpResponseStream;
import org.cuminspur.http.internal.platform.EndpointSlices;
import org.cuminspur.http.internal.platform.InstanceEvents;

/**
 * Keeps the platform's list of instances up to date: reads it once, then applies the changes from a watch.
 *
 * <p>Runs on a thread of its own. A watch transfers only changes, whereas polling would transfer the whole list of a
 * large fleet at every interval. While the platform does not answer, the last list stays in use.
 */
public final class InstanceWatcher implements AutoCloseable {
    private static final long WATCH_SECONDS = 300;
    private static final long READ_TIMEOUT_MS = (WATCH_SECONDS + 15) * 1_000;
    private static final long PAUSE_MS = 500;

    private final HttpClient http;
    private final PlatformAddress address;
    private final long timeoutMillis;
    private final InstanceListReader list;
    private final Consumer<List<ListedInstance>> listener;
    private final Thread thread = new Thread(this::run, "instance-watcher");
    private final Map<String, List<ListedInstance>> slices = new TreeMap<>();
    private volatile boolean closed;

    /**
     * Prepares the watcher.
     *
     * @param listener receives the whole list after each change, on the watcher's thread
     */
    public InstanceWatcher(
            HttpClient http, PlatformAddress address, long timeoutMillis, Consumer<List<ListedInstance>> listener) {
        this.http = http;
        this.address = address;
        this.timeoutMillis = timeoutMillis;
        this.list = new InstanceListReader(http, address, timeoutMillis);
        this.listener = listener;
        thread.setDaemon(true);
    }

    /** Starts the watcher thread. */
    public void start() {
        thread.start();
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }

    private void run() {
        while (!closed) {
            Option<String> version = list.readJson().map(this::replaceAll);
            while (version.isDefined() && !closed) {
                version = version.flatMap(this::watch);
                pause();
            }
            pause();
        }
    }

    private String replaceAll(JsonNode json) {
        slices.clear();
        slices.putAll(EndpointSlices.list(json));
        notifyListener();
        return EndpointSlices.version(json);
    }

    /** Returns the version from which to continue watching, or none if the list must be read again. */
    private Option<String> watch(String version) {
        String path =
                EndpointSlices.PATH + "?watch=true&timeoutSeconds=" + WATCH_SECONDS + "&resourceVersion=" + version;
        HttpCall call = HttpCall.get(address.host(), address.port(), path);
        return http.open(call, timeoutMillis)
                .toOption()
                .filter(stream -> stream.status() == 200)
                .flatMap(stream -> readEvents(stream, version));
    }

    private Option<String> readEvents(HttpResponseStream stream, String version) {
        InstanceEvents events = new InstanceEvents(slices, version);
        try (stream) {
            while (!closed) {
                Either<CallFault, byte[]> piece = stream.next(READ_TIMEOUT_MS);
                if (piece.isLeft()) {
                    return Option.none();
                }
                if (piece.get().length == 0) {
                    return Option.of(events.version());
                }
                if (events.apply(piece.get())) {
                    notifyListener();
                }
                if (events.outdated()) {
                    return Option.none();
                }
            }
        }
        return Option.none();
    }

    private void notifyListener() {
        listener.accept(slices.values().stream().flatMap(Collection::stream).toList());
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
