package org.cuminspur.rollout;

import java.util.Optional;

/**
 * Decides which phase of a roll-out follows; stateless and thread-safe.
 *
 * <p>A version is promoted for want of evidence against it, at the end of the canary, if it has answered at all and can
 * carry the load, and if most instances report; the canary lasts longer if there are few answers. It is reverted as soon as there is evidence, and at the limit if it is not fit to be promoted by then.
 */
final class RolloutDecision {
    /** Shortest time between the promotion and the end, so that all instances have heard of it. */
    static final long MIN_PROMOTION_MS = 2_500;

    /** Share of the upstreams in service that the target must have to carry their load. */
    private static final double MIN_UPSTREAM_SHARE = 0.5;

    /**
     * Share of the instances whose reports a promotion needs. With fewer, a bad version's answers may all be known to others;
     * the loss of a failure domain leaves more.
     */
    private static final double MIN_REPORTING_SHARE = 0.5;

    private RolloutDecision() {}

    /** Returns the phase that follows now, empty if the present one goes on. */
    static Optional<RolloutPhase> next(RolloutFacts facts, RolloutSchedule schedule) {
        if (facts.phase().isEmpty()) {
            return facts.ordered() ? Optional.of(first(facts)) : Optional.empty();
        }
        RolloutPhase phase = facts.phase().get();
        if (phase.isFinal()) {
            return Optional.empty();
        }
        if (!facts.ordered() || facts.assessment().bad()) {
            return Optional.of(RolloutPhase.REVERTED);
        }
        return phase == RolloutPhase.CANARY ? afterCanary(facts, schedule) : afterPromotion(facts, schedule);
    }

    private static RolloutPhase first(RolloutFacts facts) {
        if (facts.targetAlone()) {
            return RolloutPhase.COMPLETED;
        }
        return facts.serviceKnown() ? RolloutPhase.CANARY : RolloutPhase.REVERTED;
    }

    private static Optional<RolloutPhase> afterCanary(RolloutFacts facts, RolloutSchedule schedule) {
        boolean timeIsUp = facts.elapsedMillis() >= schedule.finishMillis();
        boolean fewAnswers = facts.assessment().targetAnswers() < SequentialTest.FEW_ANSWERS;
        long dueMillis = fewAnswers ? schedule.latestPromoteMillis() : schedule.promoteMillis();
        if (facts.elapsedMillis() < dueMillis || (facts.assessment().suspect() && !timeIsUp)) {
            return Optional.empty();
        }
        boolean fit = facts.assessment().targetAnswers() > 0
                && !facts.assessment().suspect()
                && facts.assessment().reporting() >= MIN_REPORTING_SHARE * facts.instances()
                && facts.targetUpstreams() > 0
                && facts.targetUpstreams() >= MIN_UPSTREAM_SHARE * facts.otherUpstreams();
        if (fit) {
            return Optional.of(RolloutPhase.PROMOTING);
        }
        return timeIsUp ? Optional.of(RolloutPhase.REVERTED) : Optional.empty();
    }

    private static Optional<RolloutPhase> afterPromotion(RolloutFacts facts, RolloutSchedule schedule) {
        boolean timeIsUp = facts.elapsedMillis() >= schedule.finishMillis() && facts.phaseMillis() >= MIN_PROMOTION_MS;
        return facts.assessment().released() || timeIsUp ? Optional.of(RolloutPhase.COMPLETED) : Optional.empty();
    }
}
