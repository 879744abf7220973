package org.cuminspur.router.internal.caller;

import io.vavr.control.Either;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;

/**
 * Reads the path that routes are matched by from the path as sent; stateless and thread-safe.
 *
 * <p>The upstream gets the path as sent. A path that an upstream might read as another one is refused, so that a
 * route's check sees what the upstream serves.
 */
final class RequestPath {
    private static final Pattern WELL_FORMED = Pattern.compile("/(?:[!-$&-~]|%[0-9A-Fa-f]{2})*");
    private static final Pattern AMBIGUOUS = Pattern.compile("(?i)%2f|%5c|%3b|[\\\\;]|//");

    private RequestPath() {}

    /** Returns the decoded path, or a refusal if it is malformed or ambiguous. */
    static Either<Refusal, String> decode(String sent) {
        if (!WELL_FORMED.matcher(sent).matches() || AMBIGUOUS.matcher(sent).find()) {
            return refusal();
        }
        // The decoder turns a plus sign into a space, which is right in forms but not in paths.
        String path = URLDecoder.decode(sent.replace("+", "%2B"), StandardCharsets.UTF_8);
        boolean unsafe = path.chars().anyMatch(Character::isISOControl)
                || Stream.of(path.split("/")).anyMatch(RequestPath::isDots);
        return unsafe ? refusal() : Either.right(path);
    }

    private static boolean isDots(String segment) {
        return segment.equals(".") || segment.equals("..");
    }

    private static Either<Refusal, String> refusal() {
        return Either.left(Refusal.of(ErrorKind.BAD_REQUEST, "the path is malformed or ambiguous"));
    }
}
