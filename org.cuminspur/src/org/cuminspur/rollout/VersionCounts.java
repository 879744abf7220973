package org.cuminspur.rollout;

/**
 * Numbers of answers; immutable.
 *
 * @param bad those that failed or were slow
 */
record VersionCounts(int answers, int bad) {
    static final VersionCounts NONE = new VersionCounts(0, 0);

    VersionCounts plus(boolean badAnswer) {
        return new VersionCounts(answers + 1, bad + (badAnswer ? 1 : 0));
    }

    /** Returns what was counted since an earlier count of the same answers. */
    VersionCounts minus(VersionCounts earlier) {
        return new VersionCounts(answers - earlier.answers, bad - earlier.bad);
    }
}
