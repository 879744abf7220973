package org.cuminspur.traffic;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.internal.hash.Rendezvous;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreLease;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;
import org.cuminspur.time.Timer;

/**
 * Keeps this instance registered in the store under one key, by which the fleet counts its instances.
 *
 * <p>Confined to the timer thread. The key is bound to a lease, and is written again if the lease has expired.
 */
public final class InstanceRegistration {
    /** Time to live of the lease, four renewal intervals, so that it outlives a few failed renewals. */
    private static final long LEASE_SECONDS = 12;

    private static final long RENEW_INTERVAL_MS = LEASE_SECONDS * 1_000 / 4;

    /** Delay after a failed call; the fleet must know of a new instance within a few seconds. */
    private static final long RETRY_MS = 1_000;

    /** Time over which the instances spread their registrations if the leases of all end at once. */
    private static final long SPREAD_MS = RENEW_INTERVAL_MS;

    private static final String SEPARATOR = " ";

    private final Store store;
    private final String key;
    private final String value;
    private final long spreadMillis;
    private final Timer timer;
    private final EventSink events;
    private boolean stopped;

    public InstanceRegistration(Store store, String key, String value, Timer timer, EventSink events) {
        this.store = store;
        this.key = key;
        this.value = value;
        this.spreadMillis = (long) (SPREAD_MS * Rendezvous.toUnitInterval(Rendezvous.hash(key)));
        this.timer = timer;
        this.events = events;
    }

    /**
     * Returns the value under which an instance registers.
     *
     * @param address where it receives datagrams of other instances, if it does
     */
    public static String value(FailureDomainId domain, Optional<NetworkAddress> address) {
        return domain.value() + address.map(at -> SEPARATOR + at).orElse("");
    }

    /** Returns the address in a value under which an instance registered, if it states one. */
    public static Optional<NetworkAddress> address(String value) {
        return NetworkAddress.parse(value.substring(value.lastIndexOf(SEPARATOR) + SEPARATOR.length()));
    }

    /** Registers the instance and renews its lease until {@link #stop}. */
    public void start() {
        store.grantLease(LEASE_SECONDS, reply -> timer.schedule(0, () -> onLeaseGranted(reply)));
    }

    /** Stops renewing; the key is removed when its lease expires. */
    public void stop() {
        stopped = true;
    }

    private void onLeaseGranted(Either<StoreFault, StoreLease> reply) {
        if (reply.isLeft()) {
            retryAfterFailure("grant", reply.getLeft(), this::startUnlessStopped);
            return;
        }
        write(reply.get());
    }

    /**
     * Writes the key with a lease, again and again until the store has answered.
     *
     * <p>A write that was given up may land later. It must not bind the key to another lease than the one that is renewed, so
     * it is repeated with the same one.
     */
    private void write(StoreLease lease) {
        if (!stopped) {
            Txn txn = new Txn(List.of(), List.of(new Txn.Put(key, value, lease)), List.of());
            store.commit(txn, written -> timer.schedule(0, () -> onWritten(lease, written)));
        }
    }

    private void onWritten(StoreLease lease, Either<StoreFault, TxnResult> written) {
        if (written.isLeft()) {
            retryAfterFailure("write", written.getLeft(), () -> write(lease));
        } else if (!isWrittenWith(lease, written.get())) {
            retryAfterFailure("write", StoreFault.NOT_DONE, this::startUnlessStopped);
        } else {
            events.emit("instance-registered", "key", key, "lease", lease.id());
            timer.schedule(RENEW_INTERVAL_MS, () -> renew(lease));
        }
    }

    /** Returns whether a write took effect in the era of its lease; in a later one the id may be of another lease. */
    private static boolean isWrittenWith(StoreLease lease, TxnResult result) {
        return result.succeeded() && result.revision().era() == lease.era();
    }

    private void renew(StoreLease lease) {
        if (!stopped) {
            store.keepAlive(lease, reply -> timer.schedule(0, () -> onLeaseRenewed(lease, reply)));
        }
    }

    private void onLeaseRenewed(StoreLease lease, Either<StoreFault, Long> reply) {
        if (reply.isRight() && reply.get() <= 0) {
            timer.schedule(spreadMillis, this::startUnlessStopped);
        } else {
            timer.schedule(reply.isLeft() ? RETRY_MS : RENEW_INTERVAL_MS, () -> renew(lease));
        }
    }

    private void retryAfterFailure(String step, StoreFault fault, Runnable retry) {
        events.emit("registration-failed", "step", step, "fault", fault.name());
        timer.schedule(RETRY_MS + spreadMillis * RETRY_MS / SPREAD_MS, retry);
    }

    private void startUnlessStopped() {
        if (!stopped) {
            start();
        }
    }
}
