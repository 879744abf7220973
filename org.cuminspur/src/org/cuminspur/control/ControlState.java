package org.cuminspur.control;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.admission.AccountLimiters;
import org.cuminspur.config.ConfigDocument;
import org.cuminspur.config.FleetConfig;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;

/**
 * The state of the control core: one table for each kind of entity.
 *
 * <p>Used on the control thread only. The configuration's revision never decreases, and an order is replaced only by
 * one that supersedes it.
 */
public final class ControlState {
    private final RouterIdentity self;
    private final Map<InstanceId, PeerRecord> peers = new TreeMap<>();
    private final Map<UpstreamId, UpstreamRecord> upstreams = new TreeMap<>();
    private final Map<Target, Order> orders = new TreeMap<>();
    private ConfigDocument configDocument = ConfigDocument.EMPTY;
    private FleetConfig config = FleetConfig.EMPTY;
    private long lastStoreReadMillis = Long.MIN_VALUE / 2;
    private final AccountLimiters accountLimiters = new AccountLimiters();
    private final AlertOutbox alertOutbox = new AlertOutbox();
    private long listUpdates;
    private boolean stopping;

    public ControlState(RouterIdentity self) {
        this.self = self;
    }

    public RouterIdentity self() {
        return self;
    }

    /** Returns the configuration in force, as published. */
    public ConfigDocument configDocument() {
        return configDocument;
    }

    /** Returns the configuration in force. */
    public FleetConfig config() {
        return config;
    }

    /** Applies a configuration if it is newer; returns whether it was. */
    public boolean applyConfig(ConfigDocument newDocument, FleetConfig newConfig) {
        if (!newDocument.revision().isNewerThan(configDocument.revision())) {
            return false;
        }
        configDocument = newDocument;
        config = newConfig;
        return true;
    }

    /** Returns whether this router was asked to stop. */
    public boolean stopping() {
        return stopping;
    }

    /** Records that this router was asked to stop. */
    public void markStopping() {
        stopping = true;
    }

    /** Returns the limiters of the accounts that this router serves; may be used on any thread. */
    public AccountLimiters accountLimiters() {
        return accountLimiters;
    }

    /** Returns the other routers in order of their ids. */
    public Stream<PeerRecord> peers() {
        return peers.values().stream();
    }

    /** Returns the other routers that respond and are not stopping, in order of their ids. */
    public Stream<PeerRecord> livePeers(long now) {
        return peers().filter(peer -> peer.live(now));
    }

    /** Returns the milliseconds since a router of the fleet last read the store, as far as known. */
    public long storeAgeMillis(long now) {
        return now - lastStoreReadMillis;
    }

    /** Records that a router of the fleet read the store. */
    public void recordStoreRead(long atMillis) {
        lastStoreReadMillis = Math.max(lastStoreReadMillis, atMillis);
    }

    /** Returns another router, or null if it is not listed. */
    public PeerRecord peer(InstanceId id) {
        return peers.get(id);
    }

    /** Returns the upstreams in order of their ids. */
    public Stream<UpstreamRecord> upstreams() {
        return upstreams.values().stream();
    }

    /** Returns an upstream, or null if it is not listed. */
    public UpstreamRecord upstream(UpstreamId id) {
        return upstreams.get(id);
    }

    /** Returns the queue of alerts to send to peers. */
    public AlertOutbox alertOutbox() {
        return alertOutbox;
    }

    /** Returns the orders, sorted by target. */
    public Stream<Order> orders() {
        return orders.values().stream();
    }

    /** Returns the order for a target, or null if there is none. */
    public Order order(Target target) {
        return orders.get(target);
    }

    /** Stores an order if it supersedes the current one; returns whether it does. */
    public boolean mergeOrder(Order order) {
        Order held = orders.get(order.target());
        if (held != null && !order.supersedes(held)) {
            return false;
        }
        orders.put(order.target(), order);
        return true;
    }

    /** Removes the order for a target. */
    public void removeOrder(Target target) {
        orders.remove(target);
    }

    /** Returns whether operators took a failure domain out of service. */
    public boolean isOutOfService(FailureDomainId domain) {
        return isOutOfService(new Target(Target.Kind.DOMAIN, domain.value()));
    }

    /** Returns whether operators took an upstream or its failure domain out of service. */
    public boolean isOutOfService(UpstreamRecord upstream) {
        if (orders.isEmpty()) {
            return false;
        }
        return isOutOfService(upstream.domain())
                || isOutOfService(new Target(Target.Kind.UPSTREAM, upstream.id().value()));
    }

    /** Returns how many times the listed instances were replaced. */
    public long listUpdates() {
        return listUpdates;
    }

    private boolean isOutOfService(Target target) {
        Order order = orders.get(target);
        return order != null && order.out();
    }

    /** Replaces the listed instances; routers and upstreams that are not listed are removed. */
    public void replaceInstances(Stream<ListedInstance> instances) {
        listUpdates++;
        Map<Boolean, Map<String, ListedInstance>> byRole = instances.collect(Collectors.partitioningBy(
                instance -> instance.service().equals(ListedInstance.ROUTER_SERVICE),
                Collectors.toMap(ListedInstance::name, Function.identity(), (a, b) -> b, TreeMap::new)));
        Map<String, ListedInstance> routers = byRole.get(true);
        routers.remove(self.id().value());
        updateRecords(routers, peers, InstanceId::new, PeerRecord::new, PeerRecord::listed);
        updateRecords(byRole.get(false), upstreams, UpstreamId::new, UpstreamRecord::new, UpstreamRecord::listed);
    }

    private static <K, R> void updateRecords(
            Map<String, ListedInstance> listed,
            Map<K, R> entries,
            Function<String, K> key,
            Function<ListedInstance, R> create,
            java.util.function.BiConsumer<R, ListedInstance> update) {
        Set<K> keys = listed.keySet().stream().map(key).collect(Collectors.toSet());
        entries.keySet().retainAll(keys);
        listed.forEach((name, instance) -> {
            R entry = entries.computeIfAbsent(key.apply(name), id -> create.apply(instance));
            update.accept(entry, instance);
        });
    }
}
