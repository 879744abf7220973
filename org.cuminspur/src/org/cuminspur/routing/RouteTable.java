package org.cuminspur.routing;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cuminspur.config.AccountSpec;
import org.cuminspur.config.FleetConfig;
import org.cuminspur.config.RouteSpec;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;

/**
 * Finds the client account of a key and the route of a request.
 *
 * <p>Immutable and safe to share between threads. Keys are looked up by their hash, so that the time of a look-up
 * reveals nothing about any key.
 */
public final class RouteTable {
    private final Map<String, AccountSpec> accountsByHash;
    private final List<RouteSpec> routes;

    public RouteTable(FleetConfig config) {
        accountsByHash = config.accounts().values().stream()
                .collect(Collectors.toMap(AccountSpec::keySha256, Function.identity()));
        routes = config.routes().values().stream()
                .sorted(Comparator.<RouteSpec>comparingInt(
                                route -> -route.path().length())
                        .thenComparing(route -> route.model().isEmpty())
                        .thenComparing(RouteSpec::id))
                .toList();
    }

    /** Returns the account with the given key. */
    public Either<Refusal, AccountSpec> account(String key) {
        AccountSpec account = accountsByHash.get(sha256(key));
        return account == null ? Either.left(Refusal.of(ErrorKind.UNAUTHENTICATED)) : Either.right(account);
    }

    /** Returns the matching route with the longest path; of equally long ones, one that names the model. */
    public Either<Refusal, RouteSpec> route(AccountSpec account, String method, String path, String model) {
        List<RouteSpec> matching = routes.stream()
                .filter(route -> matches(route, method, path, model))
                .toList();
        if (matching.isEmpty()) {
            return Either.left(Refusal.of(ErrorKind.NO_ROUTE));
        }
        return matching.stream()
                .filter(route -> route.accounts().isEmpty() || route.accounts().contains(account.id()))
                .findFirst()
                .map(Either::<Refusal, RouteSpec>right)
                .orElseGet(() -> Either.left(Refusal.of(ErrorKind.FORBIDDEN)));
    }

    /** Returns the lower-case hexadecimal SHA-256 of a key. */
    public static String sha256(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static boolean matches(RouteSpec route, String method, String path, String model) {
        boolean methodMatches = route.method().equals("*") || route.method().equals(method);
        boolean modelMatches = route.model().isEmpty() || route.model().equals(model);
        return methodMatches && modelMatches && isUnder(route.path(), path);
    }

    private static boolean isUnder(String prefix, String path) {
        if (!path.startsWith(prefix)) {
            return false;
        }
        return prefix.endsWith("/") || path.length() == prefix.length() || path.charAt(prefix.length()) == '/';
    }
}
