package org.cuminspur.balance;

import java.util.Random;
import java.util.function.BiPredicate;
import org.cuminspur.id.InstanceId;
import org.cuminspur.testing.VirtualTime;

/** The links between instances, which lose, delay or hold back messages; not thread-safe. */
final class SimulatedLinks {
    private static final long LINK_MS = 4;

    private final VirtualTime time;
    private final Random random;
    private final double lossShare;
    private BiPredicate<InstanceId, InstanceId> cut = (from, to) -> false;
    private BiPredicate<InstanceId, InstanceId> slow = (from, to) -> false;
    private long slowMillis;
    private long messages;

    SimulatedLinks(VirtualTime time, Random random, double lossShare) {
        this.time = time;
        this.random = random;
        this.lossShare = lossShare;
    }

    /** Loses all messages of some directions. */
    void cut(BiPredicate<InstanceId, InstanceId> directions) {
        cut = directions;
    }

    /** Delays all messages of some directions. */
    void slow(BiPredicate<InstanceId, InstanceId> directions, long millis) {
        slow = directions;
        slowMillis = millis;
    }

    void send(InstanceId from, InstanceId to, Runnable deliver) {
        messages++;
        if (random.nextDouble() >= lossShare && !cut.test(from, to)) {
            time.schedule(slow.test(from, to) ? slowMillis : LINK_MS, deliver);
        }
    }

    long messages() {
        return messages;
    }
}
