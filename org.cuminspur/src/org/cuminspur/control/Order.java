package org.cuminspur.control;

/**
 * An operator's order to take a target out of service or bring it back; immutable.
 *
 * @param generation higher wins; at least the accepting router's time in milliseconds
 * @param out whether the target is out of service; {@code true} wins if generations are equal
 * @param by who gave it, for information; breaks remaining ties, so that all routers keep the same order
 */
public record Order(Target target, long generation, boolean out, String by) {
    /** Returns whether this order replaces {@code other}; of two unequal orders exactly one does. */
    public boolean supersedes(Order other) {
        if (generation != other.generation) {
            return generation > other.generation;
        }
        if (out != other.out) {
            return out;
        }
        return by.compareTo(other.by) > 0;
    }
}
