package org.cuminspur.http.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.function.Consumer;
import org.cuminspur.http.client.CallFault;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.client.HttpResponseStream;
import org.cuminspur.store.StoreView;

/**
 * Reads the messages of one watch, one per line.
 *
 * <p>{@link #run} blocks its thread until the watch ends; {@link #close} may be called from any thread.
 */
public final class EtcdWatch {
    private static final long READ_TIMEOUT_MS = Long.MAX_VALUE;

    private final HttpClient http;
    private final Consumer<StoreView> changes;
    private final Runnable ended;
    private final JsonLines lines = new JsonLines(this::onMessage);
    private volatile boolean closed;
    private volatile HttpResponseStream openStream;

    public EtcdWatch(HttpClient http, Consumer<StoreView> changes, Runnable ended) {
        this.http = http;
        this.changes = changes;
        this.ended = ended;
    }

    /** Reads until the connection breaks or the watch is closed. */
    public void run(HttpCall call, long timeoutMillis) {
        try {
            http.open(call, timeoutMillis).forEach(this::readMessages);
        } finally {
            ended.run();
        }
    }

    /** Ends the watch. */
    public void close() {
        closed = true;
        HttpResponseStream stream = openStream;
        if (stream != null) {
            stream.close();
        }
    }

    private void readMessages(HttpResponseStream stream) {
        openStream = stream;
        try (stream) {
            while (!closed && stream.status() == 200) {
                Either<CallFault, byte[]> piece = stream.next(READ_TIMEOUT_MS);
                if (piece.isRight() && piece.get().length > 0) {
                    lines.append(piece.get());
                } else {
                    return;
                }
            }
        }
    }

    private void onMessage(JsonNode json) {
        StoreView view = EtcdJson.watchedChanges(json);
        if (!view.entries().isEmpty()) {
            changes.accept(view);
        }
    }
}
