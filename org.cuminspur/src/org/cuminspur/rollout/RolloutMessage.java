package org.cuminspur.rollout;

import java.util.List;

/** A message between instances about a roll-out; each kind is an immutable record. */
public sealed interface RolloutMessage {
    /** Returns the id of the roll-out. */
    long rollout();

    /**
     * What an instance has seen since the roll-out began; a later report contains all that an earlier one does.
     *
     * @param start tells the processes of an instance apart
     * @param number position among the reports of the process
     * @param released whether the instance has no work at a version that gets no new work, and sends none there
     * @param badUpstreams bits of the target's upstreams that gave bad answers, by hash
     */
    record Report(long rollout, long start, int number, boolean released, long badUpstreams, List<RouteCounts> routes)
            implements RolloutMessage {
        public Report {
            routes = List.copyOf(routes);
        }
    }

    /** The target is bad; it gets no request any more, whether the store says so yet or not. */
    record Stop(long rollout) implements RolloutMessage {}

    /** The store holds a later phase. */
    record Changed(long rollout) implements RolloutMessage {}
}
