package org.cuminspur.rollout;

import org.cuminspur.id.ServiceId;
import org.cuminspur.store.Txn;

/** Where operators give orders and read how a roll-out stands, in the platform's format; stateless and thread-safe. */
public interface RolloutKeys {
    /** Returns the key of the order for a service. */
    String order(ServiceId service);

    /** Returns the write that tells operators how a roll-out stands. */
    Txn.Put status(RolloutOrder order, RolloutPhase phase);
}
