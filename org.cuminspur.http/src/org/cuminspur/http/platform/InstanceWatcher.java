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
 * Follows the platform's list of instances: reads it once, then takes its changes from a watch.
 *
 * <p>Runs on a thread of its own. A watch costs bytes only when something changes, which a whole list of a large fleet
 * at every interval would not. While the platform does not answer, the last list stands.
 */
public final class InstanceWatcher implements AutoCloseable {
    private static final long WATCH_SECONDS = 300;
    private static final long SILENCE_MS = (WATCH_SECONDS + 15) * 1_000;
    private static final long RETRY_MS = 500;

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
     * @param listener takes the whole list after each change, on the watcher's thread
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

    /** Starts to follow the list. */
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
            Option<String> version = list.readJson().map(this::replace);
            while (version.isDefined() && !closed) {
                version = version.flatMap(this::watch);
                pause();
            }
            pause();
        }
    }

    private String replace(JsonNode json) {
        slices.clear();
        slices.putAll(EndpointSlices.list(json));
        tell();
        return EndpointSlices.version(json);
    }

    /** Returns the version to watch on from, or none if the list must be read anew. */
    private Option<String> watch(String version) {
        String path =
                EndpointSlices.PATH + "?watch=true&timeoutSeconds=" + WATCH_SECONDS + "&resourceVersion=" + version;
        HttpCall call = HttpCall.get(address.host(), address.port(), path);
        return http.open(call, timeoutMillis)
                .toOption()
                .filter(stream -> stream.status() == 200)
                .flatMap(stream -> follow(stream, version));
    }

    private Option<String> follow(HttpResponseStream stream, String version) {
        InstanceEvents events = new InstanceEvents(slices, version);
        try (stream) {
            while (!closed) {
                Either<CallFault, byte[]> piece = stream.next(SILENCE_MS);
                if (piece.isLeft()) {
                    return Option.none();
                }
                if (piece.get().length == 0) {
                    return Option.of(events.version());
                }
                if (events.take(piece.get())) {
                    tell();
                }
                if (events.outdated()) {
                    return Option.none();
                }
            }
        }
        return Option.none();
    }

    private void tell() {
        listener.accept(slices.values().stream().flatMap(Collection::stream).toList());
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
