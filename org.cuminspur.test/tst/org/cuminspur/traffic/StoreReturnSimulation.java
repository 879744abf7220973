package org.cuminspur.traffic;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.InstanceId;
import org.cuminspur.store.PolledStore;
import org.cuminspur.store.Txn;
import org.cuminspur.testing.KeyValueTable;
import org.cuminspur.testing.SimulatedStore;
import org.cuminspur.testing.StoreFaults;
import org.cuminspur.testing.VirtualTime;

/**
 * A fleet whose store comes back from copies again and again while operators and upstreams go on, in virtual time.
 *
 * <p>Not thread-safe. Operators and upstreams write again, within {@link #REWRITE_MS}, what the store lost.
 */
final class StoreReturnSimulation {
    /** Size and troubles of a fleet, whose replies are lost around each return of the store; immutable. */
    record Fleet(int instances, int upstreams, boolean restarts, boolean cuts, double lostReplies, EraPolicy policy) {
        Fleet(int instances, int upstreams, boolean restarts, boolean cuts, double lostReplies) {
            this(instances, upstreams, restarts, cuts, lostReplies, EraPolicy.PRODUCT);
        }

        Fleet with(EraPolicy other) {
            return new Fleet(instances, upstreams, restarts, cuts, lostReplies, other);
        }
    }

    private static final long RUN_MS = 60_000;

    /** Time in which a fleet that starts for the first time finds the store's first era settled. */
    private static final long START_MS = 6_000;

    private static final long SAMPLE_MS = 50;
    private static final long HEARTBEAT_MS = 1_200;
    private static final long ENTRY_LIFE_MS = 3 * HEARTBEAT_MS;
    private static final long REWRITE_MS = 1_000;
    private static final long COPY_INTERVAL_MS = 500;
    private static final int MAX_COPIES = 10;
    private static final long MAX_AWAY_MS = 700;

    /** Share of returns that are followed by another one, and the time in which it begins. */
    private static final double REPEAT_SHARE = 0.4;

    private static final long MAX_REPEAT_MS = 1_500;

    /** Time for which replies are lost after the store went away, and after its return. */
    private static final long LOSS_MS = 1_000;

    private final VirtualTime time = new VirtualTime(1_000_000);
    private final KeyValueTable table = new KeyValueTable(1);
    private final Random random;
    private final Fleet fleet;
    private final List<SimulatedView> instances = new ArrayList<>();
    private final Map<String, Long> leftSince = new TreeMap<>();
    private final Map<String, String> upstreams = new TreeMap<>();
    private final Deque<KeyValueTable.Copy> copies = new ArrayDeque<>();
    private final StoreReturnChecker checker;
    private long version;
    private boolean evacuated;
    private boolean away;
    private int started;

    private StoreReturnSimulation(Fleet fleet, long seed) {
        this.fleet = fleet;
        random = new Random(seed);
        checker = new StoreReturnChecker(time, fleet.instances());
    }

    /** Plays a fleet and returns what its checker counted. */
    static StoreReturnChecker play(Fleet fleet, long seed) {
        StoreReturnSimulation simulation = new StoreReturnSimulation(fleet, seed);
        simulation.run();
        return simulation.checker;
    }

    private void run() {
        publish();
        IntStream.range(0, fleet.upstreams()).forEach(i -> startUpstream());
        IntStream.range(0, fleet.instances()).forEach(i -> instances.add(startInstance(i)));
        time.advance(START_MS);
        checker.start(instances);
        repeat(COPY_INTERVAL_MS, COPY_INTERVAL_MS, this::keepCopy);
        repeat(1_500, 4_000, this::publish);
        repeat(4_000, 9_000, this::evacuateOrTakeBack);
        repeat(2_000, 5_000, this::replaceUpstream);
        repeat(7_000, 12_000, this::returnFromCopy);
        if (fleet.restarts()) {
            repeat(2_000, 6_000, () -> restart(random.nextInt(instances.size())));
        }
        if (fleet.cuts()) {
            repeat(3_000, 8_000, () -> cut(instances.get(random.nextInt(instances.size()))));
        }
        repeat(SAMPLE_MS, SAMPLE_MS, () -> checker.sample(instances, upstreams, leftSince, evacuated));
        time.advance(RUN_MS);
    }

    private void repeat(long minMillis, long maxMillis, Runnable action) {
        time.schedule(minMillis + random.nextInt((int) (maxMillis - minMillis) + 1), () -> {
            action.run();
            repeat(minMillis, maxMillis, action);
        });
    }

    private SimulatedView startInstance(int slot) {
        StoreFaults faults = new StoreFaults().outage(away);
        SimulatedStore store = new SimulatedStore(time, random, table, faults);
        PolledStore seen = switch (fleet.policy()) {
            case IGNORES_ERAS -> new EraBlindStore(store, false);
            case NOTICES_BY_READ -> new EraBlindStore(store, true);
            default -> store;
        };
        SimulatedView instance =
                new SimulatedView(new InstanceId("instance-" + slot), time, store, faults, fleet.policy());
        instance.watch(seen);
        new InstanceRegistration(
                        seen,
                        "instance/" + instance.id().value(),
                        InstanceRegistration.value(
                                TrafficFixtures.MILANO, Optional.of(new NetworkAddress("127.0.0.1", 1_000 + slot))),
                        time::schedule,
                        EventSink.NONE)
                .start();
        return instance;
    }

    private void restart(int slot) {
        instances.get(slot).kill();
        checker.addCalls(instances.get(slot));
        instances.set(slot, startInstance(slot));
    }

    private void cut(SimulatedView instance) {
        instance.cut(true);
        time.schedule(1_000 + random.nextInt(4_000), () -> instance.cut(false));
    }

    private void publish() {
        write("config/x", String.valueOf(++version));
        checker.acknowledged(version);
    }

    private void evacuateOrTakeBack() {
        evacuated = !evacuated;
        if (evacuated) {
            write("empty/milano", "{}");
        } else {
            remove("empty/milano");
        }
        checker.evacuationChanged();
    }

    private void startUpstream() {
        String id = "u" + started++;
        upstreams.put(id, "ready");
        heartbeat(id);
    }

    /** Replaces the oldest upstream; it says that it leaves, and its entry goes some seconds later. */
    private void replaceUpstream() {
        upstreams.keySet().stream()
                .filter(id -> upstreams.get(id).equals("ready"))
                .findFirst()
                .ifPresent(id -> {
                    upstreams.put(id, "leaving");
                    write("upstream/" + id, "leaving");
                    leftSince.put(id, time.nowMillis());
                    time.schedule(3_000, () -> {
                        upstreams.remove(id);
                        remove("upstream/" + id);
                    });
                });
        startUpstream();
    }

    private void heartbeat(String id) {
        if (upstreams.containsKey(id)) {
            write("upstream/" + id, upstreams.get(id));
            time.schedule(HEARTBEAT_MS, () -> heartbeat(id));
        }
    }

    private void keepCopy() {
        copies.addLast(table.copy());
        if (copies.size() > MAX_COPIES) {
            copies.removeFirst();
        }
    }

    private void returnFromCopy() {
        if (copies.isEmpty()) {
            // The store has not come back yet.
            return;
        }
        setAway(true);
        KeyValueTable.Copy copy = List.copyOf(copies).get(random.nextInt(copies.size()));
        copies.clear();
        time.schedule(random.nextInt((int) MAX_AWAY_MS), () -> {
            table.restore(copy);
            copies.add(copy);
            setAway(false);
            time.schedule(random.nextInt((int) REWRITE_MS), this::writeAgain);
            time.schedule(ENTRY_LIFE_MS, this::expireEntries);
            if (random.nextDouble() < REPEAT_SHARE) {
                time.schedule(random.nextInt((int) MAX_REPEAT_MS), this::returnFromCopy);
            }
        });
    }

    private void setAway(boolean now) {
        away = now;
        instances.forEach(instance -> instance.storeAway(now));
        loseReplies(fleet.lostReplies());
        time.schedule(LOSS_MS, () -> loseReplies(0));
    }

    private void loseReplies(double probability) {
        instances.forEach(instance -> instance.loseReplies(probability));
        checker.storeDisturbed();
    }

    private void writeAgain() {
        write("config/x", String.valueOf(version));
        checker.acknowledged(version);
        if (evacuated) {
            write("empty/milano", "{}");
        } else {
            remove("empty/milano");
        }
    }

    /** Removes the entries of upstreams that are no more and that the copy brought back. */
    private void expireEntries() {
        table.range("upstream/", "upstream0").entries().stream()
                .map(entry -> entry.key().substring("upstream/".length()))
                .filter(id -> !upstreams.containsKey(id))
                .forEach(id -> remove("upstream/" + id));
    }

    private void write(String key, String value) {
        whenUp(() -> table.commit(new Txn(List.of(), List.of(Txn.Put.of(key, value)), List.of())));
    }

    private void remove(String key) {
        whenUp(() -> table.commit(new Txn(List.of(), List.of(), List.of(key))));
    }

    /** Writes now; what is written while the store is away is in what is written again. */
    private void whenUp(Runnable write) {
        if (!away) {
            write.run();
        }
    }
}
