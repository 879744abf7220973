package org.cuminspur.router.internal.traffic;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

/** Reads how long another process keeps an idle connection; stateless and thread-safe. */
final class KeepAliveHeader {
    private static final long SECOND_MS = 1_000;
    private static final String TIMEOUT = "timeout=";

    private KeepAliveHeader() {}

    /** Returns the time that a response states in milliseconds, a default if it states none, 0 if this connection is closed. */
    static long millis(HeaderMap headers) {
        String close = headers.getFirst(Headers.CONNECTION);
        if (close != null && close.equalsIgnoreCase("close")) {
            return 0;
        }
        String keep = headers.getFirst(Headers.KEEP_ALIVE);
        int at = keep == null ? -1 : keep.indexOf(TIMEOUT);
        if (at < 0) {
            return UpstreamConnectionPool.DEFAULT_KEEP_ALIVE_MS;
        }
        String seconds = keep.substring(at + TIMEOUT.length()).split("[,; ]", 2)[0];
        return seconds.matches("\\d{1,6}")
                ? Long.parseLong(seconds) * SECOND_MS
                : UpstreamConnectionPool.DEFAULT_KEEP_ALIVE_MS;
    }
}
