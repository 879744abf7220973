package org.cuminspur.rollout;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.RouteId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;
import org.cuminspur.traffic.UpstreamState;

/**
 * One roll-out at one instance: which upstreams may take requests, and what their answers show.
 *
 * <p>Not thread-safe; confined to the traffic thread.
 */
final class ServiceRollout {
    /**
     * Time after the promotion was noticed in which streams may still go on at the versions that are replaced. Then those
     * versions must become idle, since they stop without draining.
     */
    static final long BOUND_GRACE_MS = 1_500;

    /** Upstreams that the canary uses, as a multiple of the share of its requests; so that each bears some load. */
    private static final double CANARY_SPREAD = 2;

    /** Fewest upstreams that the canary uses; one or two that are faulty by themselves must not decide. */
    private static final int MIN_CANARY_UPSTREAMS = 4;

    private final RolloutBounds bounds;
    private final CanaryBudget budget;
    private final VersionTally tally = new VersionTally();
    private final RolloutEvidence evidence;
    private RolloutView view;
    private Set<UpstreamId> unsuited = Set.of();
    private Set<SoftwareVersion> excludedInCanary = Set.of();
    private long promotedMillis = Long.MAX_VALUE;
    private boolean stopped;
    private int reports;
    private Optional<RolloutMessage.Report> lastReport = Optional.empty();
    private long reportedMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a roll-out in which nothing was seen.
     *
     * @param self this instance
     * @param reportIntervalMillis time between reports of an instance without news that is urgent
     */
    ServiceRollout(RolloutView view, RolloutBounds bounds, InstanceId self, long reportIntervalMillis) {
        this.view = view;
        this.bounds = bounds;
        this.budget = new CanaryBudget(
                bounds,
                RolloutSchedule.of(view.order().durationMillis()),
                Rendezvous.toUnitInterval(Rendezvous.mix(view.id(), Rendezvous.hash(self.value()))));
        this.evidence = new RolloutEvidence(reportIntervalMillis);
    }

    RolloutView view() {
        return view;
    }

    RolloutEvidence evidence() {
        return evidence;
    }

    /** Applies a newer view of the same roll-out. */
    void update(RolloutView newView, long nowMillis) {
        view = newView;
        if (isIn(RolloutPhase.CANARY)) {
            excludedInCanary = newView.excluded();
        }
        if (isIn(RolloutPhase.PROMOTING)) {
            promotedMillis = Math.min(promotedMillis, nowMillis);
        }
    }

    private boolean isIn(RolloutPhase phase) {
        return view.phase().filter(phase::equals).isPresent();
    }

    /** Sends nothing more to the target while the roll-out is open; returns whether that is new. */
    boolean stopTarget() {
        boolean first = !stopped && view.isOpen();
        stopped = true;
        return first;
    }

    /** Returns which requests the upstreams of a version may take. */
    VersionRole role(SoftwareVersion version, long nowMillis) {
        boolean target = version.equals(view.order().target());
        if (stopped && view.isOpen()) {
            // The versions that the target was about to replace serve again at once.
            return target || excludedInCanary.contains(version) ? VersionRole.RETIRED : VersionRole.SERVING;
        } else if (view.serves(version)) {
            return VersionRole.SERVING;
        } else if (target && isIn(RolloutPhase.CANARY)) {
            return VersionRole.BOUND_ONLY;
        }
        boolean mayResume = isIn(RolloutPhase.PROMOTING) && nowMillis - promotedMillis < BOUND_GRACE_MS;
        return mayResume ? VersionRole.BOUND_ONLY : VersionRole.RETIRED;
    }

    /** Applies the roles of their versions to the upstreams of the service. */
    void applyRoles(List<UpstreamState> upstreams, long nowMillis) {
        upstreams.forEach(
                upstream -> upstream.setVersionRole(role(upstream.entry().version(), nowMillis)));
        List<UpstreamState> target = upstreams.stream()
                .filter(this::isTarget)
                .filter(UpstreamState::acceptsNewWork)
                .sorted(Comparator.comparingLong(upstream ->
                        Rendezvous.mix(view.id(), Rendezvous.hash(upstream.id().value()))))
                .toList();
        long used = Math.max(
                MIN_CANARY_UPSTREAMS, Math.round(Math.ceil(CANARY_SPREAD * bounds.exposureShare() * target.size())));
        unsuited = target.stream().skip(used).map(UpstreamState::id).collect(Collectors.toSet());
    }

    /** Returns the target's upstreams that the canary does not use. */
    Set<UpstreamId> unsuited() {
        return unsuited;
    }

    /** Records a request, and returns whether it may go to the target. */
    boolean draw(RouteId route, int instances, long nowMillis) {
        return isIn(RolloutPhase.CANARY) && budget.draw(route, instances, view.elapsedMillis(nowMillis)) && !stopped;
    }

    /** Records that a request is sent to an upstream. */
    void recordSent(UpstreamState upstream, RouteId route) {
        if (isTarget(upstream)) {
            budget.recordSent(route);
        }
    }

    /** Records an answer of an upstream. */
    void recordAnswer(UpstreamState upstream, RouteId route, boolean bad) {
        tally.record(route, upstream.id(), isTarget(upstream), bad);
    }

    /** Returns whether an upstream is of the version that is rolled out. */
    boolean isTarget(UpstreamState upstream) {
        return upstream.entry().version().equals(view.order().target());
    }

    /** Returns the report to send now, empty if the last one still holds. */
    Optional<RolloutMessage.Report> nextReport(
            List<UpstreamState> upstreams, long start, long intervalMillis, long nowMillis) {
        boolean released = isIn(RolloutPhase.PROMOTING)
                && !stopped
                && nowMillis - promotedMillis >= BOUND_GRACE_MS
                && upstreams.stream()
                        .filter(upstream -> !view.serves(upstream.entry().version()))
                        .allMatch(upstream -> upstream.inFlight() == 0);
        RolloutMessage.Report report =
                new RolloutMessage.Report(view.id(), start, reports, released, tally.badUpstreams(), tally.counts());
        boolean urgent = lastReport.isEmpty()
                || released != lastReport.get().released()
                || badAnswers(report) > badAnswers(lastReport.get());
        if (!urgent && nowMillis - reportedMillis < intervalMillis) {
            return Optional.empty();
        }
        reports++;
        reportedMillis = nowMillis;
        lastReport = Optional.of(report);
        return lastReport;
    }

    private static int badAnswers(RolloutMessage.Report report) {
        return report.routes().stream().mapToInt(route -> route.target().bad()).sum();
    }

    /** Returns the assessment of an instance that collects. */
    RolloutAssessment assess(
            int rank, List<UpstreamState> upstreams, Collection<InstanceId> instances, long nowMillis) {
        int target = (int) upstreams.stream()
                .filter(this::isTarget)
                .filter(upstream -> !unsuited.contains(upstream.id()))
                .count();
        return evidence.assess(rank, target, instances, nowMillis);
    }
}
