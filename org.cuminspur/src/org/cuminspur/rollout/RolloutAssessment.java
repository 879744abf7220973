package org.cuminspur.rollout;

/**
 * What the instances of a fleet have seen of a roll-out, as one that collects it knows; immutable.
 *
 * @param rank position of this instance among those that collect, 0 is the first; larger for all others
 * @param bad whether the target answers worse than the versions that it is to replace
 * @param suspect whether its latest answers may turn out to be too bad
 * @param targetAnswers answers of the target that were judged
 * @param badAnswers those of them that failed or were slow
 * @param released whether no instance has work left at a version that gets no new work
 * @param reporting instances that were heard of lately
 */
public record RolloutAssessment(
        int rank, boolean bad, boolean suspect, long targetAnswers, long badAnswers, boolean released, int reporting) {}
