package org.cuminspur.rollout;

import java.util.function.Consumer;
import org.cuminspur.id.ServiceId;

/** What the traffic of an instance shows of roll-outs; thread-safe. */
public interface RolloutTraffic {
    /** Shows nothing. */
    RolloutTraffic NONE = new RolloutTraffic() {
        @Override
        public void assess(ServiceId service, long rollout, Consumer<RolloutAssessment> result) {
            result.accept(new RolloutAssessment(Integer.MAX_VALUE, false, false, 0, 0, false, 0));
        }

        @Override
        public void stopTarget(ServiceId service, long rollout) {}

        @Override
        public void announceChange(long rollout) {}
    };

    /** Passes on, perhaps later and on another thread, what is known of a roll-out. */
    void assess(ServiceId service, long rollout, Consumer<RolloutAssessment> result);

    /** Sends nothing more to the target, at any instance that hears of it. */
    void stopTarget(ServiceId service, long rollout);

    /** Tells the other instances that the store holds a later phase. */
    void announceChange(long rollout);
}
