package org.cuminspur.benchmarks;

import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.IdempotencyKey;
import org.cuminspur.id.RouteId;
import org.cuminspur.once.ActionId;
import org.cuminspur.once.IdempotencyLedger.Decision;
import org.cuminspur.once.IdempotencyLedger.Outcome;
import org.cuminspur.once.IdempotencySettings;
import org.cuminspur.once.StoreIdempotencyLedger;
import org.cuminspur.once.StoredAnswer;
import org.cuminspur.once.UndatedKeyPolicy;
import org.cuminspur.store.StoreKeys;
import org.cuminspur.testing.KeyValueTable;
import org.cuminspur.testing.SimulatedStore;
import org.cuminspur.testing.StoreFaults;
import org.cuminspur.testing.VirtualTime;

/**
 * Counts what actions that run at most once cost the store, under virtual time.
 *
 * <p>Prints one row for each fleet size, rate and store delay: calls for each action, calls a second, and the time that
 * the record adds before the send as a multiple of the store's mean round trip. Used by one thread.
 */
public final class OnceCost {
    private static final long START_MS = 1_800_000_000_000L;
    private static final long WINDOW_MS = 600_000;
    private static final long SERVICE_MS = 20;
    /** Longer than the window and its margin, so that old records are deleted as fast as new ones are written. */
    private static final long WARM_UP_MS = 1_020_000;

    private static final long MEASURED_MS = 180_000;
    private static final int SEED = 1;

    private final VirtualTime time = new VirtualTime(START_MS);
    private final RandomGenerator random =
            RandomGeneratorFactory.of("L64X128MixRandom").create(SEED);
    private final KeyValueTable table = new KeyValueTable();
    private final List<SimulatedStore> stores;
    private final List<StoreIdempotencyLedger> ledgers;
    private long actions;
    private long waitedMillis;

    private OnceCost(int routers, long minDelayMillis, long maxDelayMillis) {
        stores = IntStream.range(0, routers)
                .mapToObj(i -> new SimulatedStore(
                        time, random, table, new StoreFaults().delay(minDelayMillis, maxDelayMillis)))
                .toList();
        IdempotencySettings settings = new IdempotencySettings(WINDOW_MS, 4_096, UndatedKeyPolicy.REFUSE);
        ledgers = IntStream.range(0, routers)
                .mapToObj(i -> new StoreIdempotencyLedger(
                        settings, "router-" + i, stores.get(i), time.clock(), random, event -> {}))
                .toList();
        ledgers.forEach(ledger -> time.scheduleRepeating(StoreIdempotencyLedger.TICK_INTERVAL_MS, () -> {
            ledger.tick();
            return true;
        }));
    }

    /** Prints the table. */
    public static void main(String[] args) {
        System.out.println("| routers | actions/s | store way, ms | reads/action | writes/action | reads/s | writes/s "
                + "| wait / round trip | bytes/record |");
        System.out.println("|---|---|---|---|---|---|---|---|---|");
        for (int routers : new int[] {6, 60, 360}) {
            for (int rate : new int[] {0, 34, 136}) {
                new OnceCost(routers, 1, 5).print(routers, rate, 3);
            }
        }
        new OnceCost(6, 100, 100).print(6, 136, 100);
    }

    private void print(int routers, int rate, long meanWayMillis) {
        if (rate > 0) {
            scheduleNext(rate);
        }
        time.advance(WARM_UP_MS);
        long reads = stores.stream().mapToLong(SimulatedStore::readCount).sum();
        long writes = stores.stream().mapToLong(SimulatedStore::writeCount).sum();
        actions = 0;
        waitedMillis = 0;
        time.advance(MEASURED_MS);
        reads = stores.stream().mapToLong(SimulatedStore::readCount).sum() - reads;
        writes = stores.stream().mapToLong(SimulatedStore::writeCount).sum() - writes;
        double each = Math.max(1, actions);
        double seconds = MEASURED_MS / 1_000.0;
        System.out.printf(
                Locale.ROOT,
                "| %d | %d | %d | %.3f | %.3f | %.2f | %.1f | %.2f | %.0f |%n",
                routers,
                rate,
                meanWayMillis,
                reads / each,
                writes / each,
                reads / seconds,
                writes / seconds,
                waitedMillis / each / (2.0 * meanWayMillis),
                meanRecordBytes());
    }

    private void scheduleNext(int rate) {
        long gap = Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / rate);
        time.schedule(gap, () -> {
            act();
            scheduleNext(rate);
        });
    }

    private void act() {
        StoreIdempotencyLedger ledger = ledgers.get(random.nextInt(ledgers.size()));
        long start = time.nowMillis();
        ActionId action = new ActionId(new AccountId("buyers"), new RouteId("confirm"), key());
        ledger.tryClaim(action, "0123456789abcdef0123456789abcdef", start + 60_000, decision -> {
            actions++;
            waitedMillis += time.nowMillis() - start;
            if (decision instanceof Decision.Run run) {
                StoredAnswer answer = new StoredAnswer(200, "application/json", "{\"confirmed\":\"lot-12\"}");
                time.schedule(SERVICE_MS, () -> ledger.recordOutcome(run.claim(), new Outcome.Answered(answer)));
            }
        });
    }

    private IdempotencyKey key() {
        String millis = String.format(Locale.ROOT, "%012x", time.nowMillis());
        String tail = String.format(Locale.ROOT, "%012x", random.nextLong(1L << 48));
        return new IdempotencyKey(millis.substring(0, 8) + "-" + millis.substring(8) + "-7000-8000-" + tail);
    }

    private double meanRecordBytes() {
        String prefix = StoreKeys.ONCE_PREFIX + "dated/";
        return table.range(prefix, prefix + "~").entries().stream()
                .mapToInt(entry -> entry.key().length() + entry.value().length())
                .average()
                .orElse(0);
    }
}
