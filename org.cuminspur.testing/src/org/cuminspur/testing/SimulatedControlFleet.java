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
 * Runs many control cores in one process under virtual time, over links that lose, delay, reorder and duplicate
 * messages.
 *
 * <p>Not thread-safe. The same seed and the same calls give the same run.
 */
public final class SimulatedControlFleet {
    private static final long LIST_INTERVAL_MS = 500;
    private static final long START_MS = 1_000_000;

    /** Bytes that one router sent and received; immutable. */
    public record Traffic(long sentBytes, long receivedBytes) {
        private Traffic plus(long sent, long received) {
            return new Traffic(sentBytes + sent, receivedBytes + received);
        }
    }

    private final VirtualTime time = new VirtualTime(START_MS);
    private final KeyValueTable storeTable = new KeyValueTable();
    private final LinkFaults linkFaults = new LinkFaults();
    private final RandomGenerator random;
    private final Map<InstanceId, SimulatedControlRouter> routers = new LinkedHashMap<>();
    private final Map<String, ListedInstance> listed = new TreeMap<>();
    private final Map<InstanceId, Traffic> traffic = new HashMap<>();
    private ToIntFunction<PeerMessage> messageSize = message -> 0;
    private BiConsumer<SimulatedControlRouter, UpstreamId> probeHandler = (router, upstream) -> {};
    private BiFunction<RouterIdentity, RandomGenerator, ControlCore> coreFactory = ControlCore::new;
    private long maxListLagMillis;

    public SimulatedControlFleet(long seed) {
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    public VirtualTime time() {
        return time;
    }

    /** Returns the store's table, which all routers share. */
    public KeyValueTable storeTable() {
        return storeTable;
    }

    public LinkFaults linkFaults() {
        return linkFaults;
    }

    public RandomGenerator random() {
        return random;
    }

    /** Returns the running routers, frozen ones included, in the order of their start. */
    public Stream<SimulatedControlRouter> routers() {
        return routers.values().stream().filter(SimulatedControlRouter::isAlive);
    }

    public SimulatedControlRouter router(String name) {
        return routers.get(new InstanceId(name));
    }

    /** Sets the function that returns the size of a message on the wire, in bytes. */
    public void setMessageSize(ToIntFunction<PeerMessage> bytes) {
        messageSize = bytes;
    }

    /** Sets the action that runs when a router probes an upstream. */
    public void onProbe(BiConsumer<SimulatedControlRouter, UpstreamId> handler) {
        probeHandler = handler;
    }

    /** Sets the factory for the cores of routers that are started later. */
    public void setCoreFactory(BiFunction<RouterIdentity, RandomGenerator, ControlCore> factory) {
        coreFactory = factory;
    }

    /** Sets the maximum lag of the instance list; each read draws its lag uniformly from 0 to this. */
    public void setMaxListLag(long maxMillis) {
        maxListLagMillis = maxMillis;
    }

    /** Starts a router and adds it to the instance list. */
    public SimulatedControlRouter startRouter(String name, String domain) {
        RouterIdentity identity = new RouterIdentity(new InstanceId(name), new FailureDomainId(domain));
        SimulatedStore store = new SimulatedStore(time, splitRandom(), storeTable, new StoreFaults());
        SimulatedControlRouter[] holder = new SimulatedControlRouter[1];
        SimulatedControlRouter router = new SimulatedControlRouter(
                identity,
                time,
                store,
                splitRandom(),
                coreFactory,
                send -> send(identity.id(), send),
                id -> probeHandler.accept(holder[0], id));
        holder[0] = router;
        routers.put(identity.id(), router);
        listInstance(instance(name, ListedInstance.ROUTER_SERVICE, domain, false));
        time.schedule(random.nextLong(LIST_INTERVAL_MS), () -> readList(router));
        return router;
    }

    /** Starts and lists {@code count} routers, spread evenly over the failure domains. */
    public void startRouters(int count, List<String> domains) {
        for (int i = 0; i < count; i++) {
            startRouter("router-" + i, domains.get(i % domains.size()));
        }
    }

    /** Adds an upstream to the instance list. */
    public void listUpstream(String name, String service, String domain) {
        listInstance(instance(name, service, domain, false));
    }

    /** Adds an instance to the instance list, or replaces its entry. */
    public void listInstance(ListedInstance instance) {
        listed.put(instance.name(), instance);
    }

    public void markLeaving(String name) {
        ListedInstance old = listed.get(name);
        listInstance(instance(name, old.service(), old.domain().value(), true));
    }

    public void removeFromList(String name) {
        listed.remove(name);
    }

    /** Kills a router; it stays listed until {@link #removeFromList}. */
    public void kill(String name) {
        router(name).kill();
    }

    /** Advances virtual time and runs the events that fall due. */
    public void advance(long millis) {
        time.advance(millis);
    }

    /** Returns the bytes that a router has sent and received so far. */
    public Traffic traffic(InstanceId id) {
        return traffic.getOrDefault(id, new Traffic(0, 0));
    }

    private void readList(SimulatedControlRouter router) {
        List<ListedInstance> snapshot = List.copyOf(listed.values());
        long lag = maxListLagMillis == 0 ? 0 : random.nextLong(maxListLagMillis);
        time.schedule(lag, () -> router.accept(new ControlInput.InstancesListed(snapshot)));
        if (router.isAlive()) {
            time.schedule(LIST_INTERVAL_MS, () -> readList(router));
        }
    }

    private void send(InstanceId from, ControlOutput.SendPeerMessage send) {
        int bytes = messageSize.applyAsInt(send.message());
        traffic.merge(from, new Traffic(bytes, 0), (total, added) -> total.plus(bytes, 0));
        if (random.nextDouble() >= linkFaults.lossProbability()
                && !linkFaults.partitioned().test(from, send.to())) {
            deliver(from, send, bytes);
            if (random.nextDouble() < linkFaults.duplicationProbability()) {
                deliver(from, send, bytes);
            }
        }
    }

    private void deliver(InstanceId from, ControlOutput.SendPeerMessage send, int bytes) {
        time.schedule(random.nextLong(linkFaults.minDelayMillis(), linkFaults.maxDelayMillis() + 1), () -> {
            SimulatedControlRouter receiver = routers.get(send.to());
            if (receiver != null && receiver.isAlive()) {
                traffic.merge(send.to(), new Traffic(0, bytes), (total, added) -> total.plus(0, bytes));
                receiver.accept(new ControlInput.PeerMessageReceived(from, send.message()));
            }
        });
    }

    private ListedInstance instance(String name, String service, String domain, boolean leaving) {
        return new ListedInstance(
                name, service, "127.0.0.1", Map.of("http", 1), new FailureDomainId(domain), "1", leaving);
    }

    private RandomGenerator splitRandom() {
        return RandomGeneratorFactory.of("L64X128MixRandom").create(random.nextLong());
    }
}
