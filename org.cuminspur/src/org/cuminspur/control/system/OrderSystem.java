package org.cuminspur.control.system;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ControlOutput;
import org.cuminspur.control.ControlState;
import org.cuminspur.control.ControlStep;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.Order;
import org.cuminspur.control.Target;
import org.cuminspur.control.message.PeerMessage.Digest;
import org.cuminspur.control.message.PeerMessage.Orders;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.config.OrderCodec;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreKeys;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;

/**
 * Distributes operators' orders among the routers and persists them in the platform's store.
 *
 * <p>Used on the control thread only. An order takes effect on the router that receives it at once, whether or not the
 * store is up. Any router that reads the store writes the orders that the store lacks, so an order outlives the router
 * that received it. An order older than a day for an upstream that is not listed is removed everywhere, so the
 * number of orders is bounded by the failure domains and the upstreams of about one day.
 */
public final class OrderSystem implements ControlSystem {
    private static final long EXCHANGE_INTERVAL_MS = 300;
    private static final long EXPIRY_INTERVAL_MS = 10_000;
    private static final long UNLISTED_ORDER_RETENTION_MS = 24 * 3_600_000L;
    private static final String COMMIT_TAG_PREFIX = "order:";

    private final ControlState state;
    private long nextExchangeMillis = Long.MIN_VALUE;
    private long nextExpiryMillis = Long.MIN_VALUE;

    public OrderSystem(ControlState state) {
        this.state = state;
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.on(ControlInput.OrderSubmitted.class, this::onOrderSubmitted);
        handlers.on(ControlInput.StoreRead.class, this::onStoreRead);
        handlers.on(
                ControlInput.StoreChanged.class,
                (input, step) -> storedOrders(input.changes()).values().forEach(order -> mergeOrder(order, step)));
        handlers.onPeerMessage(Digest.class, this::onDigest);
        handlers.onPeerMessage(Orders.class, this::onOrders);
    }

    @Override
    public void tick(ControlStep step) {
        if (step.now() >= nextExpiryMillis) {
            nextExpiryMillis = step.now() + EXPIRY_INTERVAL_MS;
            List<Order> expired =
                    state.orders().filter(order -> isExpired(order, step.now())).toList();
            expired.forEach(order -> state.removeOrder(order.target()));
        }
    }

    private void onOrderSubmitted(ControlInput.OrderSubmitted input, ControlStep step) {
        Order held = state.order(input.target());
        long generation = held == null ? step.now() : Math.max(step.now(), held.generation() + 1);
        Order order = new Order(input.target(), generation, input.out(), input.by());
        mergeOrder(order, step);
        state.peers().forEach(peer -> step.send(peer.id(), new Orders(List.of(order), false)));
        step.outputs().accept(new ControlOutput.ReadStore(StoreKeys.CURRENT_PREFIX));
    }

    private void onDigest(InstanceId from, Digest digest, ControlStep step) {
        if (digest.orders() != OrderCodec.hash(state.orders()) && step.now() >= nextExchangeMillis) {
            nextExchangeMillis = step.now() + EXCHANGE_INTERVAL_MS;
            step.send(from, new Orders(state.orders().toList(), true));
        }
    }

    private void onOrders(InstanceId from, Orders message, ControlStep step) {
        message.orders().forEach(order -> mergeOrder(order, step));
        if (message.reply() && OrderCodec.hash(message.orders().stream()) != OrderCodec.hash(state.orders())) {
            step.send(from, new Orders(state.orders().toList(), false));
        }
    }

    private void onStoreRead(ControlInput.StoreRead input, ControlStep step) {
        if (input.prefix().startsWith(StoreKeys.CONFIG_PREFIX)) {
            input.reply().forEach(view -> reconcile(view, step));
        }
    }

    private void reconcile(StoreView view, ControlStep step) {
        Map<Target, Order> stored = storedOrders(view);
        stored.values().forEach(order -> mergeOrder(order, step));
        state.orders()
                .filter(order -> stored.get(order.target()) == null || order.supersedes(stored.get(order.target())))
                .forEach(order -> commit(order.target(), view, List.of(put(order)), List.of(), step));
        stored.values().stream()
                .filter(order -> isExpired(order, step.now()))
                .map(Order::target)
                .forEach(target -> commit(target, view, List.of(), List.of(target.storeKey()), step));
    }

    private static Map<Target, Order> storedOrders(StoreView view) {
        Map<Target, Order> orders = new HashMap<>();
        view.entries().stream()
                .filter(entry -> entry.key().startsWith(StoreKeys.ORDER_PREFIX))
                .map(StoreEntry::value)
                .map(OrderCodec::parse)
                .flatMap(Optional::stream)
                .forEach(order -> orders.merge(order.target(), order, (a, b) -> b.supersedes(a) ? b : a));
        return orders;
    }

    private static Txn.Put put(Order order) {
        return Txn.Put.of(order.target().storeKey(), OrderCodec.format(order));
    }

    private static void commit(
            Target target, StoreView view, List<Txn.Put> puts, List<String> deletes, ControlStep step) {
        String key = target.storeKey();
        Txn txn = new Txn(List.of(new Txn.Compare(key, view.modRevision(key))), puts, deletes);
        step.outputs().accept(new ControlOutput.CommitStore(COMMIT_TAG_PREFIX + key, txn));
    }

    private boolean isExpired(Order order, long now) {
        return order.target().kind() == Target.Kind.UPSTREAM
                && now - order.generation() > UNLISTED_ORDER_RETENTION_MS
                && state.upstreams().findAny().isPresent()
                && state.upstream(new UpstreamId(order.target().name())) == null;
    }

    private void mergeOrder(Order order, ControlStep step) {
        if (!isExpired(order, step.now()) && state.mergeOrder(order)) {
            step.reportChange(
                    order.out() ? "taken-out" : "brought-back", order.target().label() + " by " + order.by());
        }
    }
}
