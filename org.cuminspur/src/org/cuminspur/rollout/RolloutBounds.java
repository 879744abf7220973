package org.cuminspur.rollout;

/**
 * What a deployment allows a version that may be bad, the same for all instances; immutable.
 *
 * @param exposureShare largest share of a service's requests that the version may get during the whole roll-out
 * @param exposureSlack requests that it may get beyond that share
 */
public record RolloutBounds(double exposureShare, double exposureSlack) {
    /** The bounds of a deployment that states none. */
    public static final RolloutBounds DEFAULT = new RolloutBounds(0.1, 0);
}
