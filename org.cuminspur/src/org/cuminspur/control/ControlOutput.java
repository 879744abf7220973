package org.cuminspur.control;

import org.cuminspur.control.message.PeerMessage;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.Txn;

/** An action that the control core requests; each kind is an immutable record. */
public interface ControlOutput {
    /** Sends a message to another router; it may be lost, delayed or reordered. */
    record SendPeerMessage(InstanceId to, PeerMessage message) implements ControlOutput {}

    /** Reads all keys under a prefix; answered by {@link ControlInput.StoreRead}. */
    record ReadStore(String prefix) implements ControlOutput {}

    /** Commits a transaction; answered by {@link ControlInput.StoreCommitted}. */
    record CommitStore(String tag, Txn txn) implements ControlOutput {}

    /** Starts to watch a prefix; answered by {@link ControlInput.StoreChanged} until it ends. */
    record StartWatch(String prefix, StoreRevision afterRevision) implements ControlOutput {}

    /** Ends a watch. */
    record StopWatch(String prefix) implements ControlOutput {}

    /** Asks an upstream for its load; the report is stored in the upstream's tracker. */
    record ProbeUpstream(UpstreamId upstream) implements ControlOutput {}

    /**
     * Reports a state change for the log.
     *
     * @param event short name with hyphens, such as {@code revision-applied}
     */
    record StateChanged(String event, String detail) implements ControlOutput {}
}
