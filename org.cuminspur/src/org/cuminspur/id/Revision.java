package org.cuminspur.id;

/**
 * Numbers one published configuration; higher is newer.
 *
 * <p>Immutable, with value equality; safe to share between threads.
 *
 * @param value zero before the first publication
 */
public record Revision(long value) implements Comparable<Revision> {
    /** The revision before the first publication. */
    public static final Revision NONE = new Revision(0);

    /** Returns the next revision. */
    public Revision next() {
        return new Revision(value + 1);
    }

    /** Returns whether this revision is newer than {@code other}. */
    public boolean isNewerThan(Revision other) {
        return value > other.value;
    }

    @Override
    public int compareTo(Revision other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
