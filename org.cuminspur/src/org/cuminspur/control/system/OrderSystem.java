package org.cuminspur.control.system;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ControlOutput;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.Order;
import org.cuminspur.control.Tables;
import org.cuminspur.control.Target;
import org.cuminspur.control.Turn;
import org.cuminspur.control.message.PeerMessage.Digest;
import org.cuminspur.control.message.PeerMessage.Orders;
import org.cuminspur.id.InstanceId;
import org.cuminspur.internal.config.OrderCodec;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreKeys;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;

/**
 * Spreads operators' orders among the routers and files them in the platform's store.
 *
 * <p>Used on the control thread only. An order takes effect on the router that receives it at once, whether or not
 * the store is up; the router that received it files it as soon as the store answers.
 */
public final class OrderSystem implements ControlSystem {
    private static final long READ_INTERVAL_MS = 1_000;
    private static final String TAG = "order:";

    private final Tables tables;
    private final Set<Target> unfiled = new HashSet<>();
    private final Map<String, Long> storedAt = new HashMap<>();
    private long nextReadMillis = Long.MIN_VALUE;

    public OrderSystem(Tables tables) {
        this.tables = tables;
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.on(ControlInput.OrderGiven.class, this::given);
        handlers.on(ControlInput.StoreRead.class, this::storeRead);
        handlers.onPeer(Digest.class, this::digest);
        handlers.onPeer(Orders.class, this::received);
    }

    @Override
    public void tick(Turn turn) {
        if (turn.now() >= nextReadMillis) {
            nextReadMillis = turn.now() + READ_INTERVAL_MS;
            turn.out().accept(new ControlOutput.ReadStore(StoreKeys.ORDER));
        }
    }

    private void given(ControlInput.OrderGiven input, Turn turn) {
        Order held = tables.order(input.target());
        long generation = held == null ? 1 : held.generation() + 1;
        Order order = new Order(input.target(), generation, input.out(), input.by());
        merge(order, turn);
        unfiled.add(order.target());
        tables.peers().forEach(peer -> turn.send(peer.id(), new Orders(List.of(order), false)));
    }

    private void digest(InstanceId from, Digest digest, Turn turn) {
        if (digest.orders() != OrderCodec.hash(tables.orders())) {
            turn.send(from, new Orders(tables.orders().toList(), true));
        }
    }

    private void received(InstanceId from, Orders message, Turn turn) {
        message.orders().forEach(order -> merge(order, turn));
        if (message.reply() && OrderCodec.hash(message.orders().stream()) != OrderCodec.hash(tables.orders())) {
            turn.send(from, new Orders(tables.orders().toList(), false));
        }
    }

    private void storeRead(ControlInput.StoreRead input, Turn turn) {
        if (input.prefix().equals(StoreKeys.ORDER)) {
            input.reply().forEach(view -> reconcile(view, turn));
        }
    }

    private void reconcile(StoreView view, Turn turn) {
        storedAt.clear();
        view.entries().forEach(entry -> storedAt.put(entry.key(), entry.modRevision()));
        Map<Target, Order> stored = new HashMap<>();
        view.entries().stream()
                .map(StoreEntry::value)
                .map(OrderCodec::parse)
                .flatMap(Optional::stream)
                .forEach(order -> stored.put(order.target(), order));
        stored.values().forEach(order -> merge(order, turn));
        unfiled.removeIf(target -> !beatsStored(tables.order(target), stored.get(target)));
        unfiled.forEach(target -> file(tables.order(target), turn));
    }

    private static boolean beatsStored(Order held, Order stored) {
        return stored == null || held.beats(stored);
    }

    private void file(Order order, Turn turn) {
        String key = order.target().storeKey();
        Txn txn = Txn.swap(key, storedAt.getOrDefault(key, 0L), OrderCodec.format(order));
        turn.out().accept(new ControlOutput.CommitStore(TAG + key, txn));
    }

    private void merge(Order order, Turn turn) {
        if (tables.merge(order)) {
            turn.changed(
                    order.out() ? "taken-out" : "brought-back", order.target().label() + " by " + order.by());
        }
    }
}
