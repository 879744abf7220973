package org.cuminspur.http.client;

import java.util.List;

/**
 * A request to another process; immutable, though the body is shared and must not be changed.
 *
 * @param host IP address
 * @param path path with query
 * @param headers headers besides Host and Content-Length
 * @param freshConnection whether to open a new connection instead of reusing an idle one
 */
public record HttpCall(
        String method,
        String host,
        int port,
        String path,
        List<HttpHeader> headers,
        byte[] body,
        boolean freshConnection) {
    public HttpCall {
        headers = List.copyOf(headers);
    }

    /** Returns a call with a JSON body. */
    public static HttpCall json(String method, String host, int port, String path, byte[] body) {
        return new HttpCall(
                method, host, port, path, List.of(new HttpHeader("Content-Type", "application/json")), body, false);
    }

    /** Returns a GET. */
    public static HttpCall get(String host, int port, String path, HttpHeader... headers) {
        return new HttpCall("GET", host, port, path, List.of(headers), new byte[0], false);
    }
}
