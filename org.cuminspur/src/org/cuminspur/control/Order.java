package org.cuminspur.control;

/**
 * An operator's order about one target; immutable.
 *
 * @param generation higher wins
 * @param out whether the target is out of service; wins a tie of generations
 * @param by who gave it, for people
 */
public record Order(Target target, long generation, boolean out, String by) {
    /** Returns whether this order takes the place of {@code other}. */
    public boolean beats(Order other) {
        if (generation != other.generation) {
            return generation > other.generation;
        }
        return out && !other.out;
    }
}
