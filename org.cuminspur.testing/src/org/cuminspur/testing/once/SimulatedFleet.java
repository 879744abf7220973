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
import org.cuminspur.testing.SimulatedStore;
import org.cuminspur.testing.StoreFaults;
import org.cuminspur.testing.VirtualTime;

/**
 * Simulated routers that share a store and an upstream, with callers that repeat requests of unknown outcome.
 *
 * <p>Not thread-safe. A run depends only on its seed.
 */
public final class SimulatedFleet {
    /** Time from a request to its deadline. */
    public static final long DEADLINE_MS = 5_000;

    private static final long START_MS = 1_800_000_000_000L;
    private static final long REPEAT_DELAY_MS = 1_500;
    private static final long NO_REPLY_TIMEOUT_MS = 8_000;

    private final VirtualTime time = new VirtualTime(START_MS);
    private final RandomGenerator random;
    private final KeyValueTable table = new KeyValueTable();
    private final SimulatedUpstream upstream;
    private final List<SimulatedRouter> routers;
    private final List<SimulatedRequest> requests = new ArrayList<>();

    public SimulatedFleet(long seed, int size, SimulatedRouter.LedgerFactory ledgers) {
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        upstream = new SimulatedUpstream(time, random);
        routers = IntStream.range(0, size)
                .mapToObj(i -> new SimulatedRouter(
                        "router-" + i,
                        time,
                        random,
                        new SimulatedStore(time, random, table, new StoreFaults()),
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

    public SimulatedUpstream upstream() {
        return upstream;
    }

    public List<SimulatedRouter> routers() {
        return routers;
    }

    /** Returns all requests so far, in the order they were sent. */
    public List<SimulatedRequest> requests() {
        return requests;
    }

    /** Returns the contents of the store. */
    public KeyValueTable table() {
        return table;
    }

    /** Returns a randomly chosen router. */
    public SimulatedRouter randomRouter() {
        return routers.get(random.nextInt(routers.size()));
    }

    /** Returns an action whose key is a UUID of version 7 dated now, or an undated key. */
    public ActionId createAction(int number, boolean dated) {
        String key = dated ? uuidV7(number) : "sale-" + number;
        return new ActionId(new AccountId("buyers"), new RouteId("confirm"), new IdempotencyKey(key));
    }

    /** Sends a request once. */
    public SimulatedRequest send(SimulatedRouter router, ActionId action, String fingerprint) {
        SimulatedRequest request =
                new SimulatedRequest(requests.size(), action, fingerprint, time.nowMillis() + DEADLINE_MS);
        requests.add(request);
        router.receive(request);
        return request;
    }

    /**
     * Sends a request and repeats it on random routers, up to a number of times, while it is unanswered or may be
     * repeated.
     */
    public void sendWithRepeats(SimulatedRouter router, ActionId action, String fingerprint, int repeats) {
        SimulatedRequest request = send(router, action, fingerprint);
        if (repeats > 0) {
            time.schedule(REPEAT_DELAY_MS, () -> {
                if (isRepeatable(request)) {
                    long wait = request.refusal().get().retryAfterMillis() - REPEAT_DELAY_MS;
                    time.schedule(wait, () -> sendWithRepeats(randomRouter(), action, fingerprint, repeats - 1));
                } else if (request.response().isEmpty()) {
                    time.schedule(
                            NO_REPLY_TIMEOUT_MS,
                            () -> sendWithRepeats(randomRouter(), action, fingerprint, repeats - 1));
                }
            });
        }
    }

    private static boolean isRepeatable(SimulatedRequest request) {
        return request.refusal()
                .exists(refusal ->
                        refusal.kind().runState() == RunState.NOT_RUN || refusal.kind() == ErrorKind.KEY_IN_PROGRESS);
    }

    private String uuidV7(int number) {
        String millis = String.format(Locale.ROOT, "%012x", time.nowMillis());
        return millis.substring(0, 8) + "-" + millis.substring(8) + "-7000-8000-"
                + String.format(Locale.ROOT, "%012x", number);
    }
}
