package org.cuminspur.benchmarks.control;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.Target;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.peer.internal.PeerCodec;
import org.cuminspur.publish.Backoff;
import org.cuminspur.publish.PublishResult;
import org.cuminspur.publish.Publisher;
import org.cuminspur.testing.SimulatedControlFleet;
import org.cuminspur.testing.SimulatedControlRouter;
import org.cuminspur.testing.SimulatedStore;
import org.cuminspur.testing.StoreFaults;

/**
 * Measures under virtual time how fast changes spread, and what they cost in bytes and platform calls.
 *
 * <p>Prints lines of {@code measure scenario policy routers upstreams value unit}, separated by tabs. Run on one thread
 * with a fixed seed, so that equal code gives equal figures.
 */
public final class ControlSpread {
    private static final int FRAME_BYTES = 80;
    private static final long SEED = 1;
    private static final long SETTLE_MS = 10_000;
    private static final long IDLE_MS = 60_000;
    private static final long CHANGE_INTERVAL_MS = 86_400_000 / 2_300;
    private static final int CHANGES = 3;
    private static final int RELEASED = 300;
    private static final long RELEASE_MS = 60_000;
    private static final List<String> DOMAINS = List.of("a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2");
    private static final List<String> SMALL_DOMAINS = List.of("milano", "torino", "verona");

    private final int routers;
    private final SimulatedControlFleet fleet = new SimulatedControlFleet(SEED);
    private long worstSpreadMillis;
    private long publisherCalls;
    private long lastPublishedMillis;
    private int published;
    private int publications;

    private ControlSpread(int routers) {
        this.routers = routers;
        fleet.setMessageSize(message -> PeerCodec.encode(message).length + FRAME_BYTES);
        fleet.startRouters(routers, routers >= 24 ? DOMAINS : SMALL_DOMAINS);
        fleet.advance(SETTLE_MS);
    }

    /** Prints all measures for the sizes given, or for 6, 24, 90 and 360 routers. */
    public static void main(String[] args) {
        int[] sizes = args.length == 0
                ? new int[] {6, 24, 90, 360}
                : IntStream.range(0, args.length)
                        .map(i -> Integer.parseInt(args[i]))
                        .toArray();
        System.out.println("measure\tscenario\tpolicy\trouters\tupstreams\tvalue\tunit");
        IntStream.of(sizes).mapToObj(ControlSpread::new).forEach(ControlSpread::run);
    }

    private void run() {
        costs("idle", () -> fleet.advance(IDLE_MS));
        costs("changes-2300-a-day", this::changes);
        print("spread-worst", "changes-2300-a-day", worstSpreadMillis, "ms");
        takeOut();
        worstSpreadMillis = 0;
        publisherCalls = 0;
        published = 0;
        long released = fleet.time().nowMillis();
        costs("release-300", this::release);
        print("spread-worst", "release-300", worstSpreadMillis, "ms");
        print("published", "release-300", published, "publications");
        print("release-time", "release-300", lastPublishedMillis - released, "ms");
        print("publisher-calls", "release-300", (double) publisherCalls / RELEASED, "calls/publication");
    }

    private void changes() {
        for (int i = 0; i < CHANGES; i++) {
            publish();
            fleet.advance(CHANGE_INTERVAL_MS);
        }
    }

    private void release() {
        for (int i = 0; i < RELEASED; i++) {
            publish();
        }
        fleet.advance(RELEASE_MS);
    }

    private void takeOut() {
        long given = fleet.time().nowMillis();
        Target target = new Target(Target.Kind.DOMAIN, "c2");
        fleet.router("router-0").accept(new ControlInput.OrderSubmitted(target, true, "benchmark"));
        while (!fleet.routers().allMatch(router -> router.core().state().isOutOfService(new FailureDomainId("c2")))) {
            fleet.advance(1);
        }
        print("spread-worst", "take-out", fleet.time().nowMillis() - given, "ms");
    }

    private void costs(String scenario, Runnable action) {
        long start = fleet.time().nowMillis();
        long[] sent = each(router -> fleet.traffic(router.id()).sentBytes());
        long[] received = each(router -> fleet.traffic(router.id()).receivedBytes());
        long reads = total(router -> router.store().readCount());
        long writes = total(router -> router.store().writeCount());
        long publishers = publisherCalls;
        action.run();
        double seconds = (fleet.time().nowMillis() - start) / 1_000.0;
        long[] sentAfter = each(router -> fleet.traffic(router.id()).sentBytes());
        long[] receivedAfter = each(router -> fleet.traffic(router.id()).receivedBytes());
        long[] both = IntStream.range(0, routers)
                .mapToLong(i -> sentAfter[i] - sent[i] + receivedAfter[i] - received[i])
                .sorted()
                .toArray();
        print("bytes-mean", scenario, LongStream.of(both).sum() / (double) routers / seconds, "B/s both ways");
        print("bytes-max", scenario, both[both.length - 1] / seconds, "B/s both ways");
        print("router-reads", scenario, (total(router -> router.store().readCount()) - reads) / seconds, "calls/s");
        print("router-writes", scenario, (total(router -> router.store().writeCount()) - writes) / seconds, "calls/s");
        print("publisher-calls", scenario, (publisherCalls - publishers) / seconds, "calls/s");
        print("watches", scenario, total(router -> router.store().watchCount()), "started in all");
    }

    private long[] each(ToLongFunction<SimulatedControlRouter> value) {
        return fleet.routers().mapToLong(value).toArray();
    }

    private long total(ToLongFunction<SimulatedControlRouter> value) {
        return fleet.routers().mapToLong(value).sum();
    }

    private void publish() {
        int number = publications++;
        SimulatedStore store = new SimulatedStore(fleet.time(), fleet.random(), fleet.storeTable(), new StoreFaults());
        String text = "[service s" + number + "]\nkind = plain\n";
        new Publisher(
                        store,
                        "publication-" + number,
                        Map.of("service-" + number + ".ini", text),
                        Set.of(),
                        new Backoff(fleet.time().clock(), fleet.time()::schedule, fleet.random(), RELEASE_MS),
                        result -> ended(result, store))
                .start();
    }

    private void ended(PublishResult result, SimulatedStore store) {
        publisherCalls += store.readCount() + store.writeCount();
        if (result instanceof PublishResult.Published accepted) {
            published++;
            long since = fleet.time().nowMillis();
            lastPublishedMillis = since;
            fleet.time()
                    .scheduleRepeating(1, () -> spreading(accepted.revision().value(), since));
        }
    }

    private boolean spreading(long revision, long since) {
        boolean everywhere = fleet.routers()
                .allMatch(router ->
                        router.core().state().configDocument().revision().value() >= revision);
        worstSpreadMillis = Math.max(worstSpreadMillis, fleet.time().nowMillis() - since);
        return !everywhere;
    }

    private void print(String measure, String scenario, double value, String unit) {
        System.out.printf("%s\t%s\twatch-and-gossip\t%d\t0\t%.1f\t%s%n", measure, scenario, routers, value, unit);
    }
}
