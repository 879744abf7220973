package org.cuminspur.testing.once;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.RunState;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.IdempotencyKey;
import org.cuminspur.id.RouteId;
import org.cuminspur.once.ActionId;
import org.cuminspur.testing.KeyValueTable;
import org.cuminspur.testing.MemoryStore;
import org.cuminspur.testing.StoreFaults;
import org.cuminspur.testing.VirtualTime;

/**
 * Routers that share a store and an upstream, with callers that repeat what they were not told the end of.
 *
 * <p>Used by one thread. A run depends on its seed and on nothing else.
 */
public final class OnceFleet {
    /** Time from a request to its deadline. */
    public static final long DEADLINE_MS = 5_000;

    private static final long START_MS = 1_800_000_000_000L;
    private static final long REPEAT_AFTER_MS = 1_500;
    private static final long PATIENCE_MS = 8_000;

    private final VirtualTime time = new VirtualTime(START_MS);
    private final RandomGenerator random;
    private final KeyValueTable table = new KeyValueTable();
    private final OnceUpstream upstream;
    private final List<OnceRouter> routers;
    private final List<OnceRequest> requests = new ArrayList<>();

    public OnceFleet(long seed, int size, OnceRouter.Ledgers ledgers) {
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        upstream = new OnceUpstream(time, random);
        routers = IntStream.range(0, size)
                .mapToObj(i -> new OnceRouter(
                        "router-" + i,
                        time,
                        random,
                        new MemoryStore(time, random, table, new StoreFaults()),
                        upstream,
                        ledgers))
                .toList();
    }

    public VirtualTime time() {
        return time;
    }

    public RandomGenerator random() {
        return random;
    }

    public OnceUpstream upstream() {
        return upstream;
    }

    public List<OnceRouter> routers() {
        return routers;
    }

    /** Returns all requests so far, in the order they were made. */
    public List<OnceRequest> requests() {
        return requests;
    }

    /** Returns the keys and values of the store. */
    public KeyValueTable table() {
        return table;
    }

    /** Returns a random router. */
    public OnceRouter anyRouter() {
        return routers.get(random.nextInt(routers.size()));
    }

    /** Returns an action whose key tells the time it is made at, or none. */
    public ActionId action(int number, boolean dated) {
        String key = dated ? uuid(number) : "sale-" + number;
        return new ActionId(new AccountId("buyers"), new RouteId("confirm"), new IdempotencyKey(key));
    }

    /** Sends a request once. */
    public OnceRequest request(OnceRouter router, ActionId action, String fingerprint) {
        OnceRequest request = new OnceRequest(requests.size(), action, fingerprint, time.now() + DEADLINE_MS);
        requests.add(request);
        router.request(request);
        return request;
    }

    /** Sends a request and repeats it on any router while it has no end, up to a number of times. */
    public void persist(OnceRouter router, ActionId action, String fingerprint, int repeats) {
        OnceRequest request = request(router, action, fingerprint);
        if (repeats > 0) {
            time.after(REPEAT_AFTER_MS, () -> {
                if (mayRepeat(request)) {
                    persist(anyRouter(), action, fingerprint, repeats - 1);
                } else if (request.told().isEmpty()) {
                    time.after(PATIENCE_MS, () -> persist(anyRouter(), action, fingerprint, repeats - 1));
                }
            });
        }
    }

    private static boolean mayRepeat(OnceRequest request) {
        return request.refusal()
                .exists(refusal ->
                        refusal.kind().runState() == RunState.NOT_RUN || refusal.kind() == ErrorKind.KEY_IN_PROGRESS);
    }

    private String uuid(int number) {
        String millis = String.format(Locale.ROOT, "%012x", time.now());
        return millis.substring(0, 8) + "-" + millis.substring(8) + "-7000-8000-"
                + String.format(Locale.ROOT, "%012x", number);
    }
}
