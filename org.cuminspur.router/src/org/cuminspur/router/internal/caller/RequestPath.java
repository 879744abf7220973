package org.cuminspur.router.internal.caller;

import io.vavr.control.Either;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;

/**
 * Decodes the request path for route matching; stateless and thread-safe.
 *
 * <p>The upstream gets the path as received. A path that an upstream might interpret differently is refused, so that the
 * path that a route permits is the path that the upstream serves.
 */
final class RequestPath {
    private static final Pattern WELL_FORMED = Pattern.compile("/(?:[!-$&-~]|%[0-9A-Fa-f]{2})*");
    private static final Pattern AMBIGUOUS = Pattern.compile("(?i)%2f|%5c|%3b|[\\\\;]|//");

    private RequestPath() {}

    /** Returns the decoded path, or a refusal if it is malformed or ambiguous. */
    static Either<Refusal, String> decode(String rawPath) {
        if (!WELL_FORMED.matcher(rawPath).matches()
                || AMBIGUOUS.matcher(rawPath).find()) {
            return refusal();
        }
        // URLDecoder turns a plus sign into a space, which is correct for form data but not for paths.
        String path = URLDecoder.decode(rawPath.replace("+", "%2B"), StandardCharsets.UTF_8);
        boolean unsafe = path.chars().anyMatch(Character::isISOControl)
                || Stream.of(path.split("/")).anyMatch(RequestPath::isDotSegment);
        return unsafe ? refusal() : Either.right(path);
    }

    private static boolean isDotSegment(String segment) {
        return segment.equals(".") || segment.equals("..");
    }

    private static Either<Refusal, String> refusal() {
        return Either.left(Refusal.of(ErrorKind.BAD_REQUEST, "the path is malformed or ambiguous"));
    }
}
