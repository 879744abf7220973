package org.cuminspur.router.internal.traffic;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import java.util.HashSet;
import java.util.Set;

/**
 * The requests to which a connection has brought a response other than a success.
 *
 * <p>Used on the connection's I/O thread. A faulty upstream may write such a response once more. A caller may send a refused
 * request again under its id; on another connection, an earlier response cannot be taken for one to the repeat.
 */
final class UnsuccessfulResponses {
    private static final AttachmentKey<UnsuccessfulResponses> KEY = AttachmentKey.create(UnsuccessfulResponses.class);

    /** Requests that are remembered; a connection that would bring more is not used again. */
    private static final int MAX_REQUESTS = 64;

    private final Set<String> requestIds = new HashSet<>();

    private UnsuccessfulResponses() {}

    /** Returns those of a connection. */
    static UnsuccessfulResponses of(ClientConnection connection) {
        Attachable attachable = (Attachable) connection;
        UnsuccessfulResponses known = attachable.getAttachment(KEY);
        if (known == null) {
            known = new UnsuccessfulResponses();
            attachable.putAttachment(KEY, known);
        }
        return known;
    }

    /** Adds a request; returns whether the connection may be used again. */
    boolean add(String requestId) {
        requestIds.add(requestId);
        return requestIds.size() < MAX_REQUESTS;
    }

    boolean contains(String requestId) {
        return requestIds.contains(requestId);
    }
}
