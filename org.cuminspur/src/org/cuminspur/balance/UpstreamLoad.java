package org.cuminspur.balance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.cuminspur.pace.Pace;

/**
 * What is known of one upstream's load and speed: its last report, and the requests that were assigned to it since.
 *
 * <p>Not thread-safe. A report loses its weight with age: the load turns over within the time of a few requests, and the
 * speed changes more than once a second.
 */
final class UpstreamLoad {
    /** Time constant with which the speed of a report loses weight. */
    private static final double SPEED_DECAY_MS = 600;

    /** Time constant with which the load of a report loses weight. */
    private static final double LOAD_DECAY_MS = 400;

    /** Time in which an assigned request shows in reports; it is on its way to the upstream before. */
    private static final long ON_THE_WAY_MS = 15;

    /** Time after which an assigned request no longer counts: it has ended, or its reports were lost. */
    private static final long ASSIGNMENT_MS = 1_000;

    /** Weight of one request in the mean of how long they take. */
    private static final double WORK_WEIGHT = 0.1;

    /** Time constant of the number of responses; some dozens of requests at a loaded upstream. */
    private static final double MEAN_DECAY_MS = 1_000;

    /**
     * Time without a report from an upstream after which its room is unknown, at least; reports may be lost, or come to
     * another instance that assigns. A full upstream responds within a part of the time that a request takes.
     */
    private static final long MIN_ROOM_KNOWN_MS = 250;

    /** The same at most, for one whose requests take seconds. */
    private static final long MAX_ROOM_KNOWN_MS = 1_000;

    /** The same in multiples of the mean interval between its reports. */
    private static final double ROOM_KNOWN_INTERVALS = 4;

    /** Time in which no instance would send it a request after which it counts as back. */
    private static final long ABSENCE_MS = 1_000;

    /**
     * Time in which an assigned request is taken to be there while nothing else is known of the room, in multiples of the mean
     * time of a request: some take twice as long. Counted for longer, lost reports would keep slots empty.
     */
    private static final double UNREPORTED_WORK = 2;

    /** The same at an upstream of which no answer is known. */
    private static final double USUAL_WORK_MS = 100;

    /** Requests that an upstream which has not said so is taken to run at a time. */
    private static final int USUAL_SLOTS = 8;

    private static final int USUAL_PERCENT = 100;

    /** Weight of one request in the share of those that end in an error; some dozen requests of all instances. */
    private static final double ERROR_WEIGHT = 0.1;

    /** Time constant with which that share loses weight, so that an upstream which gets nothing is tried again. */
    private static final double ERROR_DECAY_MS = 4_000;

    /** Share from which an upstream that an instance has ejected stays so, although it answers others. */
    private static final double MAX_ERROR_SHARE = 0.2;

    private final Deque<Long> assignedMillis = new ArrayDeque<>();
    private int reportedLoad;
    private long reportedMillis = Long.MIN_VALUE / 2;
    private OptionalInt slots = OptionalInt.empty();
    private int speedPercent = USUAL_PERCENT;
    private double responses;
    private double workMillis;
    private double usualWorkMillis;
    private double peersMillis;
    private long listedMillis = Long.MIN_VALUE / 2;
    private long answeredMillis = Long.MIN_VALUE / 2;
    private boolean failedLast;
    private double errorShare;
    private long errorMillis = Long.MIN_VALUE / 2;
    private final Pace pace;

    /**
     * Creates the load of an upstream that was not heard of.
     *
     * @param pace limits it after a start or a recovery
     */
    UpstreamLoad(Pace pace) {
        this.pace = pace;
    }

    /** Applies a report that was made some time ago. */
    void report(UpstreamReport report, long madeMillis) {
        if (madeMillis < reportedMillis) {
            return;
        }
        responses = responses * Math.exp((reportedMillis - madeMillis) / MEAN_DECAY_MS) + 1;
        if (report.tookMillis().isPresent()) {
            recordAnswer(report.tookMillis().getAsInt(), report, madeMillis);
        } else if (isHeldBack(madeMillis)) {
            // In full use a rejection says only that there is no room.
            pace.failed(report.slots().orElse(USUAL_SLOTS), madeMillis);
        }
        reportedLoad = report.load();
        reportedMillis = madeMillis;
        slots = report.slots().isPresent() ? report.slots() : slots;
        speedPercent = report.speedPercent().orElse(USUAL_PERCENT);
        while (!assignedMillis.isEmpty() && assignedMillis.peek() < madeMillis - ON_THE_WAY_MS) {
            assignedMillis.poll();
        }
    }

    private void recordAnswer(int tookMillis, UpstreamReport report, long madeMillis) {
        answeredMillis = madeMillis;
        failedLast = false;
        recordOutcome(0, madeMillis);
        double slowness = report.speedPercent().orElse(USUAL_PERCENT) / (double) USUAL_PERCENT;
        double usualMillis = tookMillis / Math.max(1, slowness);
        workMillis = mean(workMillis, tookMillis);
        usualWorkMillis = mean(usualWorkMillis, usualMillis);
        pace.answered(usualMillis, peersMillis, report.slots().orElse(USUAL_SLOTS), madeMillis);
    }

    private static double mean(double mean, double value) {
        return mean == 0 ? value : mean + (value - mean) * WORK_WEIGHT;
    }

    /** Records that the connection of a request broke or could not be made. */
    void recordFailure(long nowMillis) {
        failedLast = true;
        pace.failed(slots.orElse(USUAL_SLOTS), nowMillis);
    }

    /** Records that it ran a request and answered with an error. */
    void recordError(long nowMillis) {
        recordOutcome(1, nowMillis);
    }

    private void recordOutcome(int error, long nowMillis) {
        double share = errorShare(nowMillis);
        errorShare = share + (error - share) * ERROR_WEIGHT;
        errorMillis = Math.max(errorMillis, nowMillis);
    }

    /** Returns the share of requests that ended in an error there lately. */
    double errorShare(long nowMillis) {
        return errorShare * Math.exp(Math.min(0, errorMillis - nowMillis) / ERROR_DECAY_MS);
    }

    /**
     * Records that an instance would send it a request.
     *
     * @param peersServe whether other upstreams of its service were in use meanwhile
     */
    void list(boolean peersServe, long nowMillis) {
        if (peersServe && !isListed(nowMillis)) {
            pace.begin(nowMillis);
        }
        listedMillis = nowMillis;
    }

    /** Returns whether it has answered an instance lately, no request to it has broken since, and few ended in an error. */
    boolean answers(long nowMillis) {
        return !failedLast && nowMillis - answeredMillis <= ABSENCE_MS && errorShare(nowMillis) <= MAX_ERROR_SHARE;
    }

    /** Returns whether an instance would have sent it a request lately. */
    boolean isListed(long nowMillis) {
        return nowMillis - listedMillis <= ABSENCE_MS;
    }

    /** Returns whether it has just started or recovered, so that its answers decide how many requests it gets. */
    boolean isPaced() {
        return pace.isPacing();
    }

    /** Returns whether it gets fewer requests than it has slots for, as it has just started or recovered. */
    boolean isHeldBack(long nowMillis) {
        return isPaced() && pace.limit(slots(), nowMillis) < slots();
    }

    /** Returns the requests that it may hold. */
    int limit(long nowMillis) {
        int limit = pace.limit(slots.orElse(USUAL_SLOTS), nowMillis);
        // What it bears was found at its usual speed, and requests at once slow each other down as long as it is cold.
        return isPaced() ? (int) Math.max(1, limit / Math.max(1, slowness(nowMillis))) : limit;
    }

    /**
     * Records that a request was assigned to it.
     *
     * @param othersMillis what requests take at its peers, 0 if unknown
     */
    void assign(double othersMillis, long nowMillis) {
        peersMillis = othersMillis;
        assignedMillis.add(nowMillis);
    }

    /** Returns the requests that it is expected to hold. */
    double load(double meanLoad, long nowMillis) {
        expireAssignments(nowMillis);
        double weight = Math.exp((reportedMillis - nowMillis) / LOAD_DECAY_MS);
        // One that is paced has what was assigned to it, not as much as the others.
        double expected = isPaced() ? 0 : (1 - weight) * meanLoad;
        return weight * reportedLoad + expected + assignedMillis.size();
    }

    /**
     * Returns whether it is expected to have a slot for another request by the time that it arrives.
     *
     * <p>Without a recent report it is taken to hold what was assigned to it lately, so that requests which come at once after
     * a silence do not all go to it.
     */
    boolean hasRoom(long nowMillis) {
        expireAssignments(nowMillis);
        boolean known = slots.isPresent() && isRoomKnown(nowMillis);
        long held = known ? reportedLoad + assignedMillis.size() : assignedLately(nowMillis);
        return held + 1 <= limit(nowMillis);
    }

    private long assignedLately(long nowMillis) {
        double latelyMillis =
                isPaced() ? ASSIGNMENT_MS : UNREPORTED_WORK * workMillis().orElse(USUAL_WORK_MS);
        return assignedMillis.stream()
                .filter(assigned -> nowMillis - assigned <= latelyMillis)
                .count();
    }

    private boolean isRoomKnown(long nowMillis) {
        double usualMillis = ROOM_KNOWN_INTERVALS * MEAN_DECAY_MS / Math.max(1, responses);
        double knownMillis = Math.max(MIN_ROOM_KNOWN_MS, Math.min(MAX_ROOM_KNOWN_MS, usualMillis));
        return nowMillis - reportedMillis <= knownMillis;
    }

    private void expireAssignments(long nowMillis) {
        while (!assignedMillis.isEmpty() && nowMillis - assignedMillis.peek() > ASSIGNMENT_MS) {
            assignedMillis.poll();
        }
    }

    /** Returns how long a request took there lately, empty if none is known. */
    OptionalDouble workMillis() {
        return workMillis == 0 ? OptionalDouble.empty() : OptionalDouble.of(workMillis);
    }

    /** Returns how long a request took there lately while its speed was the usual one, empty if none is known. */
    OptionalDouble usualWorkMillis() {
        return usualWorkMillis == 0 ? OptionalDouble.empty() : OptionalDouble.of(usualWorkMillis);
    }

    /** Returns the load of the last report. */
    int reportedLoad() {
        return reportedLoad;
    }

    /** Returns how long work takes there, as a multiple of the usual time. */
    double slowness(long nowMillis) {
        double weight = Math.exp((reportedMillis - nowMillis) / SPEED_DECAY_MS);
        return 1 + weight * (speedPercent - USUAL_PERCENT) / USUAL_PERCENT;
    }

    /** Returns the requests that it runs at a time. */
    int slots() {
        return slots.orElse(USUAL_SLOTS);
    }
}
