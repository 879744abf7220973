package org.cuminspur.control;

import io.vavr.control.Either;
import java.util.List;
import org.cuminspur.control.message.PeerMessage;
import org.cuminspur.id.InstanceId;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.TxnResult;

/**
 * An event from outside the control core; each kind is an immutable record.
 *
 * <p>Besides its inputs, the core depends only on the time, its seed, and what request threads record in trackers and
 * limiters, so a run can be replayed.
 */
public interface ControlInput {
    /** The platform's list of instances, live and leaving; may be out of date. */
    record InstancesListed(List<ListedInstance> instances) implements ControlInput {}

    /** A reply to {@link ControlOutput.ReadStore}. */
    record StoreRead(String prefix, Either<StoreFault, StoreView> reply) implements ControlInput {}

    /** A reply to {@link ControlOutput.CommitStore} with the same tag. */
    record StoreCommitted(String tag, Either<StoreFault, TxnResult> reply) implements ControlInput {}

    /** Keys that changed under a running watch; a deleted key has an empty value. */
    record StoreChanged(String prefix, StoreView changes) implements ControlInput {}

    /** A watch broke or was closed. */
    record WatchEnded(String prefix) implements ControlInput {}

    /** An authenticated message from another router. */
    record PeerMessageReceived(InstanceId from, PeerMessage message) implements ControlInput {}

    /** An operator's order, submitted to this router. */
    record OrderSubmitted(Target target, boolean out, String by) implements ControlInput {}

    /** The router was asked to stop. */
    record StopRequested() implements ControlInput {}
}
