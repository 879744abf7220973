package org.cuminspur.router.internal.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes a hash that is equal for requests that differ only in their headers; stateless and thread-safe. */
final class RequestFingerprint {
    private static final int HEX_CHARS = 32;

    private RequestFingerprint() {}

    /** Returns a hash over method, path, query and body. */
    static String of(CallerRequest request) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((request.method() + " " + request.pathAndQuery() + "\n").getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(request.body())).substring(0, HEX_CHARS);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
