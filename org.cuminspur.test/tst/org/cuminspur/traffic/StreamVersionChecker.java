package org.cuminspur.traffic;

/** Counts streams by what must hold of them: they keep their version, and enough of them go on; not thread-safe. */
final class StreamVersionChecker {
    /** Streams that may hold events of two versions. */
    private static final long MAX_MIXED = 2;

    /** Fewest resumed streams at which the share that goes on is judged. */
    private static final long MIN_RESUMED = 12;

    /** Least share of resumed streams that go on, of the share of new streams that begin. */
    private static final double MIN_SHARE = 0.5;

    private long sent;
    private long begun;
    private long mixed;
    private long resumed;
    private long wentOn;

    /** Counts a new stream and returns its number. */
    long recordSent() {
        return sent++;
    }

    /** Counts a new stream whose first event was delivered. */
    void recordBegun() {
        begun++;
    }

    /** Counts a stream that holds events of two versions. */
    void recordMixed() {
        mixed++;
    }

    /** Counts a stream that its caller takes up again while two servers of its version serve. */
    void recordResumed() {
        resumed++;
    }

    /** Counts one of those that goes on. */
    void recordWentOn() {
        wentOn++;
    }

    long begun() {
        return begun;
    }

    /** Returns whether enough streams were resumed to judge them. */
    boolean judged() {
        return resumed >= MIN_RESUMED;
    }

    /** Returns whether streams keep their version. */
    boolean keepsVersions() {
        return mixed <= MAX_MIXED;
    }

    /** Returns whether enough of the resumed streams go on. */
    boolean goesOn() {
        return (double) wentOn / resumed >= MIN_SHARE * begun / sent;
    }

    @Override
    public String toString() {
        return "of " + sent + " streams " + begun + " began and " + mixed + " hold events of two versions; " + wentOn
                + " of " + resumed + " resumed went on";
    }
}
