package org.cuminspur.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.cuminspur.id.InstanceId;

/**
 * What the instances of a fleet have seen of a roll-out, collected from their reports.
 *
 * <p>Not thread-safe; confined to the traffic thread. Reports may be lost, late or doubled: each contains all that its
 * process has counted, and only what is new of it is added. An instance that starts to collect late gets all in the first
 * reports.
 */
final class RolloutEvidence {
    /** Age from which a report says nothing of the work that an instance still has; a few intervals. */
    static final long REPORT_VALID_MS = 4_000;

    /**
     * Upstreams of the target that must have given bad answers if it has several: one that is faulty by itself says nothing of
     * its version.
     */
    private static final int MIN_BAD_UPSTREAMS = 2;

    private record Received(RolloutMessage.Report report, long atMillis) {}

    private final long judgeDelayMillis;
    private final SequentialTest all;
    private final Map<Long, SequentialTest> byRoute = new HashMap<>();
    private final Map<InstanceId, Received> latest = new HashMap<>();
    private long badUpstreams;

    /**
     * Creates evidence of nothing.
     *
     * @param reportIntervalMillis time within which the answers of the serving versions are reported, too
     */
    RolloutEvidence(long reportIntervalMillis) {
        judgeDelayMillis = SequentialTest.JUDGE_DELAY_MS + reportIntervalMillis;
        all = new SequentialTest(judgeDelayMillis);
    }

    /** Adds what a report has beyond the last one of the same process. */
    void add(InstanceId from, RolloutMessage.Report report, long nowMillis) {
        Received before = latest.get(from);
        boolean sameProcess = before != null && before.report().start() == report.start();
        if (sameProcess && report.number() <= before.report().number()) {
            return;
        }
        latest.put(from, new Received(report, nowMillis));
        badUpstreams |= report.badUpstreams();
        Map<Long, RouteCounts> known = new HashMap<>();
        if (sameProcess) {
            before.report().routes().forEach(counts -> known.put(counts.route(), counts));
        }
        report.routes().forEach(counts -> add(counts, known.get(counts.route()), nowMillis));
    }

    private void add(RouteCounts counts, RouteCounts before, long nowMillis) {
        VersionCounts serving =
                before == null ? counts.serving() : counts.serving().minus(before.serving());
        VersionCounts target =
                before == null ? counts.target() : counts.target().minus(before.target());
        if (serving.answers() < 0 || target.answers() < 0) {
            return;
        }
        all.record(serving, target, nowMillis);
        byRoute.computeIfAbsent(counts.route(), absent -> new SequentialTest(judgeDelayMillis))
                .record(serving, target, nowMillis);
    }

    /** Returns the assessment of an instance that collects. */
    RolloutAssessment assess(int rank, int targetUpstreams, Collection<InstanceId> instances, long nowMillis) {
        boolean several = Long.bitCount(badUpstreams) >= Math.min(MIN_BAD_UPSTREAMS, targetUpstreams);
        boolean suspect = all.isSuspect() || byRoute.values().stream().anyMatch(SequentialTest::isSuspect);
        boolean bad = several && (all.isBad() || byRoute.values().stream().anyMatch(SequentialTest::isBad));
        long reporting =
                instances.stream().filter(id -> isCurrent(id, nowMillis)).count();
        boolean released = instances.stream()
                .allMatch(id ->
                        isCurrent(id, nowMillis) && latest.get(id).report().released());
        return new RolloutAssessment(rank, bad, suspect, all.answers(), all.bad(), released, (int) reporting);
    }

    private boolean isCurrent(InstanceId id, long nowMillis) {
        Received received = latest.get(id);
        return received != null && nowMillis - received.atMillis() < REPORT_VALID_MS;
    }
}
