package org.cuminspur.rollout;

/** The phases of a roll-out, in the order in which they follow each other; the last two are final. */
public enum RolloutPhase {
    /** A small share of the requests goes to the target. */
    CANARY,
    /** New work goes to the target; what the other versions have begun ends there. */
    PROMOTING,
    /** The target serves alone. The other versions' upstreams stop without draining. */
    COMPLETED,
    /** The target gets nothing. */
    REVERTED;

    /** Returns whether the roll-out has ended. */
    public boolean isFinal() {
        return this == COMPLETED || this == REVERTED;
    }
}
