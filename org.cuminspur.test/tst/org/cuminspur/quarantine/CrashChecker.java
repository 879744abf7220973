package org.cuminspur.quarantine;

import java.util.ArrayList;
import java.util.List;

/**
 * Counts what must hold while requests with one part, or repeats of one request, crash upstreams; not thread-safe.
 *
 * <p>Few of them reach upstreams once the fleet can know the culprit, and sound requests like them still begin.
 */
final class CrashChecker {
    /** Crashes from which the fleet must know a part. */
    static final int PART_CRASHES = 5;

    /** Crashes from which the fleet must know a request. */
    static final int REQUEST_CRASHES = 3;

    /** Requests that crash upstreams and may still reach upstreams. */
    private static final int MAX_LATE_SENDS = 3;

    /** Fewest sound requests in each period at which shares are judged. */
    private static final int MIN_JUDGED = 20;

    /** Least share of sound requests that begin, of the share before. */
    private static final double MIN_SHARE = 0.5;

    /** A sound request that was sent while requests with the part come. */
    private record Judged(long sentMillis, boolean begun) {}

    /** Requests that were sent, and those that began at their first attempt. */
    private static final class Share {
        private int sent;
        private int begun;

        double value() {
            return (double) begun / sent;
        }
    }

    private final int knownCrashes;
    private final long contactMillis;
    private final Share before = new Share();
    private final List<Judged> meanwhile = new ArrayList<>();
    private int crashes;
    private int lateSends;
    private long lastCrashMillis = Long.MAX_VALUE;
    private long knownMillis = Long.MAX_VALUE;

    /**
     * Creates a checker.
     *
     * @param knownCrashes crashes from which the fleet must know what causes them
     */
    CrashChecker(int knownCrashes, long contactMillis) {
        this.knownCrashes = knownCrashes;
        this.contactMillis = contactMillis;
    }

    /** Counts an upstream that ended as it began to answer a request with the part. */
    void recordCrash(long nowMillis) {
        crashes++;
        if (crashes <= knownCrashes) {
            lastCrashMillis = nowMillis;
        }
        if (crashes == knownCrashes) {
            knownMillis = nowMillis;
        }
    }

    /** Counts a request with the part that reaches an upstream. */
    void recordSend(long nowMillis, boolean inTouch) {
        if (inTouch && knownMillis != Long.MAX_VALUE && nowMillis > knownMillis + contactMillis) {
            lateSends++;
        }
    }

    /**
     * Counts the first attempt of a sound request that is like those that crash upstreams.
     *
     * @param come whether those came as it was sent
     */
    void record(long sentMillis, boolean come, boolean begun) {
        if (come) {
            meanwhile.add(new Judged(sentMillis, begun));
        } else if (crashes == 0) {
            before.sent++;
            before.begun += begun ? 1 : 0;
        }
    }

    int crashes() {
        return crashes;
    }

    /** Returns whether few requests with the part reached upstreams after the fleet had to know it. */
    boolean withinBudget() {
        return lateSends <= MAX_LATE_SENDS;
    }

    /** Returns whether enough sound requests came to judge them. */
    boolean judged() {
        return before.sent >= MIN_JUDGED && judgedMeanwhile().sent >= MIN_JUDGED;
    }

    /** Returns whether sound requests begin. */
    boolean soundRequestsBegin() {
        return judgedMeanwhile().value() >= MIN_SHARE * before.value();
    }

    /** Returns the requests from a while after the last crash that counts, which is known at the end only. */
    private Share judgedMeanwhile() {
        Share share = new Share();
        meanwhile.stream()
                .filter(request -> crashes > 0 && request.sentMillis() > lastCrashMillis + 2 * contactMillis)
                .forEach(request -> {
                    share.sent++;
                    share.begun += request.begun() ? 1 : 0;
                });
        return share;
    }

    @Override
    public String toString() {
        return crashes + " upstreams ended, " + lateSends + " late sends; sound requests begun: before " + before.begun
                + " of " + before.sent + ", meanwhile " + judgedMeanwhile().begun + " of " + judgedMeanwhile().sent;
    }
}
