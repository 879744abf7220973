package org.cuminspur.rollout;

import org.cuminspur.id.ServiceId;
import org.cuminspur.store.Txn;

/** What roll-outs need of the platform and of the traffic; immutable. */
public record RolloutSupport(RolloutKeys keys, RolloutTraffic traffic) {
    /** For an instance that gets no orders. */
    public static final RolloutSupport NONE = new RolloutSupport(
            new RolloutKeys() {
                @Override
                public String order(ServiceId service) {
                    return "order/" + service.value();
                }

                @Override
                public Txn.Put status(RolloutOrder order, RolloutPhase phase) {
                    return Txn.Put.of("status/" + order.service().value(), phase.name());
                }
            },
            RolloutTraffic.NONE);
}
