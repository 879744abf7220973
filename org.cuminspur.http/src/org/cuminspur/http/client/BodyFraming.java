package org.cuminspur.http.client;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;

/** How the end of a response's body is marked; immutable. */
public enum BodyFraming {
    /** The response has no body. */
    NONE,
    /** By a Content-Length. */
    LENGTH,
    /** By the last chunk. */
    CHUNKED,
    /** By the end of the connection only, so that a body that was cut off may look complete. */
    CONNECTION_END;

    private static final int FIRST_FINAL_STATUS = 200;

    /**
     * Returns the framing of a response, as Undertow reads and writes it.
     *
     * @param method method of the request
     */
    public static BodyFraming of(HttpString method, int status, HeaderMap headers) {
        if (method.equals(Methods.HEAD) || !mayHaveBody(status)) {
            return NONE;
        }
        String encoding = headers.getLast(Headers.TRANSFER_ENCODING);
        if (encoding != null && Headers.CHUNKED.equals(new HttpString(encoding))) {
            return CHUNKED;
        }
        return headers.contains(Headers.CONTENT_LENGTH) ? LENGTH : CONNECTION_END;
    }

    private static boolean mayHaveBody(int status) {
        return status >= FIRST_FINAL_STATUS && status != StatusCodes.NO_CONTENT && status != StatusCodes.NOT_MODIFIED;
    }
}
