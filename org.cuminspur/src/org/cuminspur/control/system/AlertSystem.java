package org.cuminspur.control.system;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cuminspur.control.ControlState;
import org.cuminspur.control.ControlStep;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.PeerRecord;
import org.cuminspur.control.message.PeerMessage.UpstreamAlert;
import org.cuminspur.control.message.PeerMessage.UpstreamAlerts;
import org.cuminspur.id.InstanceId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Broadcasts alerts to all routers through a collector that changes with each short time slot.
 *
 * <p>Used on the control thread only. Each router sends its alerts to the slot's collector; the collector sends them in
 * one message to one relay per group of routers, and each relay to the rest of its group. Every router but the
 * collector therefore receives about one message per slot, regardless of the fleet size. A lost message loses the
 * alerts of one slot; later alerts replace them, except cold ones, which are repeated.
 */
public final class AlertSystem implements ControlSystem {
    private static final long SLOT_MS = 250;
    private static final long COLD_REPEAT_MS = 1_000;

    private final ControlState state;
    private final long selfHash;
    private final List<UpstreamAlert> collected = new ArrayList<>();
    private long slot = Long.MIN_VALUE;

    public AlertSystem(ControlState state) {
        this.state = state;
        this.selfHash = Rendezvous.hash(state.self().id().value());
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.onPeerMessage(UpstreamAlerts.class, this::onAlerts);
    }

    @Override
    public void tick(ControlStep step) {
        if (slot == step.now() / SLOT_MS) {
            return;
        }
        slot = step.now() / SLOT_MS;
        if (!collected.isEmpty()) {
            sendToRelays(List.copyOf(collected), step);
            collected.clear();
        }
        List<UpstreamAlert> own = state.alertOutbox().drain();
        if (!own.isEmpty()) {
            sendToCollector(own, step);
        }
        // No later alert replaces a lost cold alert, so recent ones are sent again in the next slot.
        own.stream()
                .filter(alert -> alert.kind() == UpstreamAlert.Kind.COLD)
                .filter(alert -> step.now() - alert.observedMillis() < COLD_REPEAT_MS)
                .forEach(state.alertOutbox()::add);
    }

    private void onAlerts(InstanceId from, UpstreamAlerts message, ControlStep step) {
        if (message.hops() == 0) {
            collected.addAll(message.alerts());
        } else if (message.hops() == 1) {
            forwardToGroup(from, message.alerts(), step);
        }
    }

    private void sendToCollector(List<UpstreamAlert> alerts, ControlStep step) {
        long ownScore = Rendezvous.mix(slot, selfHash);
        InstanceId collector = state.peers()
                .map(PeerRecord::id)
                .max(Comparator.comparingLong(id -> score(id)))
                .filter(id -> score(id) > ownScore)
                .orElse(null);
        if (collector == null) {
            collected.addAll(alerts);
        } else {
            step.send(collector, new UpstreamAlerts(alerts, 0));
        }
    }

    private long score(InstanceId id) {
        return Rendezvous.mix(slot, Rendezvous.hash(id.value()));
    }

    /** Sends to the first router of each group, which relays to the others. */
    private void sendToRelays(List<UpstreamAlert> alerts, ControlStep step) {
        List<InstanceId> recipients = recipients(state.self().id());
        int size = groupSize(recipients.size());
        IntStream.iterate(0, i -> i < recipients.size(), i -> i + size)
                .forEach(i -> step.send(recipients.get(i), new UpstreamAlerts(alerts, 1)));
    }

    private void forwardToGroup(InstanceId collector, List<UpstreamAlert> alerts, ControlStep step) {
        List<InstanceId> recipients = recipients(collector);
        int ownIndex = recipients.indexOf(state.self().id());
        int end = Math.min(recipients.size(), ownIndex + groupSize(recipients.size()));
        recipients
                .subList(ownIndex + 1, end)
                .forEach(id -> step.send(id, new UpstreamAlerts(alerts, UpstreamAlerts.LAST_HOP)));
    }

    private List<InstanceId> recipients(InstanceId collector) {
        return Stream.concat(
                        state.peers().map(PeerRecord::id),
                        Stream.of(state.self().id()))
                .filter(id -> !id.equals(collector))
                .sorted()
                .toList();
    }

    private static int groupSize(int recipients) {
        return (int) Math.max(1, Math.ceil(Math.sqrt(recipients)));
    }
}
