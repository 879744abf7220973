package org.cuminspur.traffic;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import org.cuminspur.id.InstanceId;
import org.cuminspur.time.Timer;

/**
 * Spreads facts that expire from the instance that sees them to all others.
 *
 * <p>Not thread-safe; confined to the traffic thread. A new fact is sent to all instances once. As long as an instance
 * holds facts, it sends them to a few instances at random, so that those which missed a message, were cut off or have
 * just started hear of them too. Messages may be lost, late or doubled, so what is held must not depend on their order
 * or number. Without facts nothing is sent.
 *
 * @param <F> the facts; they are immutable and state their age or the time that they have left
 */
public final class FactGossip<F> {
    /** Time between the messages with all facts that are held. */
    static final long INTERVAL_MS = 500;

    /** Instances that get such a message; each gets about as many, so few are missed within some intervals. */
    static final int TARGETS = 2;

    /** Sends facts to other instances, perhaps in vain. */
    public interface Channel<F> {
        void sendToAll(List<F> facts);

        void send(InstanceId to, List<F> facts);
    }

    private final InstanceId self;
    private final Timer timer;
    private final Random random;
    private final int maxFactsPerMessage;
    private final Supplier<List<F>> held;
    private final Channel<F> channel;
    private List<InstanceId> others = List.of();
    private boolean scheduled;

    /**
     * Creates a gossip that knows no other instance.
     *
     * @param held returns the facts that are held now
     */
    public FactGossip(
            InstanceId self,
            Timer timer,
            Random random,
            int maxFactsPerMessage,
            Supplier<List<F>> held,
            Channel<F> channel) {
        this.self = self;
        this.timer = timer;
        this.random = random;
        this.maxFactsPerMessage = maxFactsPerMessage;
        this.held = held;
        this.channel = channel;
    }

    /** Applies a newer view of the fleet. */
    public void update(FleetView view) {
        others = view.peers().keySet().stream()
                .filter(id -> !id.equals(self))
                .sorted()
                .toList();
    }

    /** Returns whether another instance is known. */
    public boolean hasPeers() {
        return !others.isEmpty();
    }

    /** Tells all instances facts that are new or have changed, and goes on to spread what is held. */
    public void announce(List<F> facts) {
        batches(facts).forEach(channel::sendToAll);
        keepSpreading();
    }

    /** Tells one instance facts that it lacks. */
    public void reply(InstanceId to, List<F> facts) {
        batches(facts).forEach(batch -> channel.send(to, batch));
    }

    /** Spreads what is held until there is nothing left; to be called when facts were received. */
    public void keepSpreading() {
        if (!scheduled) {
            scheduled = true;
            timer.schedule(INTERVAL_MS, this::spread);
        }
    }

    private void spread() {
        scheduled = false;
        List<F> facts = held.get();
        if (facts.isEmpty()) {
            return;
        }
        List<InstanceId> targets = new ArrayList<>(others);
        Collections.shuffle(targets, random);
        targets.stream().limit(TARGETS).forEach(to -> reply(to, facts));
        keepSpreading();
    }

    private List<List<F>> batches(List<F> facts) {
        List<List<F>> batches = new ArrayList<>();
        for (int from = 0; from < facts.size(); from += maxFactsPerMessage) {
            batches.add(facts.subList(from, Math.min(facts.size(), from + maxFactsPerMessage)));
        }
        return batches;
    }
}
