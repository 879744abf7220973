package org.cuminspur.rollout;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.store.StoreRevision;

/**
 * The order and the record of a service's roll-out, as one instance knows them from the store.
 *
 * <p>Confined to the timer thread. A roll-out never goes back to an earlier phase, also if the store comes back from a copy
 * that holds one.
 */
final class RolloutTracker {
    private final ServiceId service;
    private Optional<RolloutOrder> order = Optional.empty();
    private StoreRevision orderRevision = StoreRevision.NONE;
    private long startMillis;
    private Optional<RolloutRecord> record = Optional.empty();
    private Optional<RolloutRecord> stored = Optional.empty();
    private StoreRevision storedRevision = StoreRevision.NONE;
    private long phaseSinceMillis;

    RolloutTracker(ServiceId service) {
        this.service = service;
    }

    ServiceId service() {
        return service;
    }

    Optional<RolloutOrder> order() {
        return order;
    }

    /** Returns the revision that last wrote the order, {@link StoreRevision#NONE} if there is none. */
    StoreRevision orderRevision() {
        return orderRevision;
    }

    /** Returns when the order was given, by the steady clock. */
    long startMillis() {
        return startMillis;
    }

    /** Returns when this instance noticed the present phase. */
    long phaseSinceMillis() {
        return phaseSinceMillis;
    }

    /** Returns the revision of the record in the store, {@link StoreRevision#NONE} if it holds none. */
    StoreRevision storedRevision() {
        return storedRevision;
    }

    /** Returns whether the store lacks what is known here, since it came back from a copy. */
    boolean isStoreBehind() {
        return record.isPresent() && !record.equals(stored);
    }

    /** Returns whether nothing is known. */
    boolean isEmpty() {
        return order.isEmpty() && record.isEmpty() && stored.isEmpty();
    }

    /** Applies an order; one that a copy of the store holds does not replace a later one. */
    void applyOrder(RolloutOrder newOrder, StoreRevision revision, boolean fromCopy, long givenMillis) {
        orderRevision = revision;
        if (fromCopy && order.isPresent()) {
            return;
        }
        if (!order.equals(Optional.of(newOrder)) || isEnded()) {
            startMillis = givenMillis;
        }
        order = Optional.of(newOrder);
    }

    /** Returns whether the roll-out of the present order has ended. */
    boolean isEnded() {
        return current().filter(known -> known.phase().isFinal()).isPresent();
    }

    /**
     * Applies that there is no order, or none that can be read.
     *
     * @param revision the revision of its key, {@link StoreRevision#NONE} if the key is gone
     */
    void removeOrder(StoreRevision revision) {
        order = Optional.empty();
        orderRevision = revision;
    }

    /** Forgets which records the store holds, since it came back from a copy. */
    void beginEra() {
        stored = Optional.empty();
        storedRevision = StoreRevision.NONE;
    }

    /** Applies a record read from the store; returns whether the phase changed. */
    boolean applyStored(RolloutRecord read, StoreRevision revision, boolean fromCopy, long nowMillis) {
        stored = Optional.of(read);
        storedRevision = revision;
        if (fromCopy && record.filter(known -> isBehind(read, known)).isPresent()) {
            return false;
        }
        boolean changed = record.filter(known -> known.sameRollout(read) && known.phase() == read.phase())
                .isEmpty();
        record = stored;
        if (changed) {
            phaseSinceMillis = nowMillis;
        }
        return changed;
    }

    /** Applies the removal of the record; it is kept if it belongs to an order that stands. */
    void removeStored() {
        stored = Optional.empty();
        storedRevision = StoreRevision.NONE;
        if (order.isEmpty()) {
            record = Optional.empty();
        }
    }

    private static boolean isBehind(RolloutRecord read, RolloutRecord known) {
        return known.sameRollout(read)
                ? read.phase().compareTo(known.phase()) < 0
                : read.startedWallMillis() < known.startedWallMillis();
    }

    /** Returns the last record of any roll-out of the service. */
    Optional<RolloutRecord> last() {
        return record;
    }

    /**
     * Returns the record of the roll-out that the present order began, or of the last one if there is no order.
     *
     * <p>An order that is written again unchanged begins another roll-out only if the one before has ended, and not if it was
     * written again because the store had lost it.
     */
    Optional<RolloutRecord> current() {
        return record.filter(known -> order.isEmpty()
                || (known.order().equals(order.get())
                        && (!known.phase().isFinal()
                                || !orderRevision.isAfter(known.orderRevision())
                                || orderRevision.era() > known.orderRevision().era())));
    }

    /** Returns the versions that get no ordinary work before the roll-out of the present order has begun. */
    Set<SoftwareVersion> excludedAtBegin() {
        Set<SoftwareVersion> excluded = new HashSet<>();
        record.ifPresent(last -> {
            excluded.addAll(last.excluded());
            if (last.phase() != RolloutPhase.COMPLETED) {
                excluded.add(last.order().target());
            }
        });
        order.ifPresent(given -> excluded.remove(given.target()));
        return excluded;
    }
}
