package org.cuminspur.testing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Stream;
import org.cuminspur.control.ControlCore;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ControlOutput;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.control.RouterIdentity;
import org.cuminspur.control.message.PeerMessage;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;

/**
 * Many control cores in one process under virtual time, joined by links that lose, delay, cross and repeat messages.
 *
 * <p>Used by one thread. Equal seeds and calls give equal runs.
 */
public final class MemoryFleet {
    private static final long LIST_INTERVAL_MS = 500;
    private static final long START_MS = 1_000_000;

    /** Bytes that one router sent and received; immutable. */
    public record Traffic(long sentBytes, long receivedBytes) {
        private Traffic plus(long sent, long received) {
            return new Traffic(sentBytes + sent, receivedBytes + received);
        }
    }

    private final VirtualTime time = new VirtualTime(START_MS);
    private final KeyValueTable table = new KeyValueTable();
    private final LinkFaults links = new LinkFaults();
    private final RandomGenerator random;
    private final Map<InstanceId, MemoryRouter> routers = new LinkedHashMap<>();
    private final Map<String, ListedInstance> listed = new TreeMap<>();
    private final Map<InstanceId, Traffic> traffic = new HashMap<>();
    private ToIntFunction<PeerMessage> size = message -> 0;
    private BiConsumer<MemoryRouter, UpstreamId> prober = (router, upstream) -> {};
    private BiFunction<RouterIdentity, RandomGenerator, ControlCore> cores = ControlCore::new;
    private long listLagMillis;

    public MemoryFleet(long seed) {
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    public VirtualTime time() {
        return time;
    }

    /** Returns the store's keys and values, which all routers share. */
    public KeyValueTable table() {
        return table;
    }

    /** Returns the faults of the links. */
    public LinkFaults links() {
        return links;
    }

    /** Returns the fleet's source of randomness. */
    public RandomGenerator random() {
        return random;
    }

    /** Returns the routers that run, in the order they were started. */
    public Stream<MemoryRouter> routers() {
        return routers.values().stream().filter(MemoryRouter::alive);
    }

    /** Returns a router by its name. */
    public MemoryRouter router(String name) {
        return routers.get(new InstanceId(name));
    }

    /** Sets how the size of a message on the wire is told, in bytes. */
    public void size(ToIntFunction<PeerMessage> bytes) {
        size = bytes;
    }

    /** Sets what happens when a router probes an upstream. */
    public void prober(BiConsumer<MemoryRouter, UpstreamId> action) {
        prober = action;
    }

    /** Sets how the cores of routers started later are made. */
    public void cores(BiFunction<RouterIdentity, RandomGenerator, ControlCore> maker) {
        cores = maker;
    }

    /** Sets how far the platform's list lags; each router's lag is drawn from 0 to this for each reading. */
    public void listLag(long maxMillis) {
        listLagMillis = maxMillis;
    }

    /** Starts and lists a router. */
    public MemoryRouter start(String name, String domain) {
        RouterIdentity self = new RouterIdentity(new InstanceId(name), new FailureDomainId(domain));
        MemoryStore store = new MemoryStore(time, split(), table, new StoreFaults());
        MemoryRouter[] holder = new MemoryRouter[1];
        MemoryRouter router = new MemoryRouter(
                self, time, store, split(), cores, send -> send(self.id(), send), id -> prober.accept(holder[0], id));
        holder[0] = router;
        routers.put(self.id(), router);
        list(instance(name, ListedInstance.ROUTER_SERVICE, domain, false));
        time.after(random.nextLong(LIST_INTERVAL_MS), () -> readList(router));
        return router;
    }

    /** Starts and lists a number of routers, spread evenly over failure domains. */
    public void start(int count, List<String> domains) {
        for (int i = 0; i < count; i++) {
            start("router-" + i, domains.get(i % domains.size()));
        }
    }

    /** Lists an upstream. */
    public void upstream(String name, String service, String domain) {
        list(instance(name, service, domain, false));
    }

    /** Lists an instance, or replaces its line. */
    public void list(ListedInstance instance) {
        listed.put(instance.name(), instance);
    }

    /** Marks an instance as leaving. */
    public void leave(String name) {
        ListedInstance old = listed.get(name);
        list(instance(name, old.service(), old.domain().value(), true));
    }

    /** Drops an instance from the list. */
    public void unlist(String name) {
        listed.remove(name);
    }

    /** Ends a router at once; it stays listed until {@link #unlist}. */
    public void kill(String name) {
        router(name).kill();
    }

    /** Runs for a time. */
    public void run(long millis) {
        time.run(millis);
    }

    /** Returns what a router has sent and received. */
    public Traffic traffic(InstanceId id) {
        return traffic.getOrDefault(id, new Traffic(0, 0));
    }

    private void readList(MemoryRouter router) {
        List<ListedInstance> seen = List.copyOf(listed.values());
        long lag = listLagMillis == 0 ? 0 : random.nextLong(listLagMillis);
        time.after(lag, () -> router.accept(new ControlInput.InstancesListed(seen)));
        if (router.alive()) {
            time.after(LIST_INTERVAL_MS, () -> readList(router));
        }
    }

    private void send(InstanceId from, ControlOutput.SendPeerMessage send) {
        int bytes = size.applyAsInt(send.message());
        traffic.merge(from, new Traffic(bytes, 0), (held, added) -> held.plus(bytes, 0));
        if (random.nextDouble() >= links.lostShare() && !links.cut().test(from, send.to())) {
            deliver(from, send, bytes);
            if (random.nextDouble() < links.repeatedShare()) {
                deliver(from, send, bytes);
            }
        }
    }

    private void deliver(InstanceId from, ControlOutput.SendPeerMessage send, int bytes) {
        time.after(random.nextLong(links.minDelayMillis(), links.maxDelayMillis() + 1), () -> {
            MemoryRouter receiver = routers.get(send.to());
            if (receiver != null && receiver.alive()) {
                traffic.merge(send.to(), new Traffic(0, bytes), (held, added) -> held.plus(0, bytes));
                receiver.accept(new ControlInput.PeerMessageReceived(from, send.message()));
            }
        });
    }

    private ListedInstance instance(String name, String service, String domain, boolean leaving) {
        return new ListedInstance(
                name, service, "127.0.0.1", Map.of("http", 1), new FailureDomainId(domain), "1", leaving);
    }

    private RandomGenerator split() {
        return RandomGeneratorFactory.of("L64X128MixRandom").create(random.nextLong());
    }
}
