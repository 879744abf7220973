package org.cuminspur.rollout;

import java.util.OptionalDouble;

/**
 * Estimates what an upstream takes to read one token of a prompt, from answers to prompts of different length.
 *
 * <p>Not thread-safe. A least-squares fit of the time to the first byte over the tokens that are surely read: the part of a
 * prompt that no other request shares.
 */
final class PromptReadCost {
    /** Answers from which the fit is used. */
    private static final int MIN_ANSWERS = 20;

    /** Variance of the tokens, in tokens squared, below which the slope is noise. */
    private static final double MIN_VARIANCE = 50 * 50;

    /** More than any engine takes; a larger slope is noise. */
    private static final double MAX_MILLIS_PER_TOKEN = 1;

    private long count;
    private double meanTokens;
    private double meanMillis;
    private double tokenVariation;
    private double covariation;

    /** Records an answer. */
    void record(int unsharedTokens, double firstByteMillis) {
        count++;
        double tokenDelta = unsharedTokens - meanTokens;
        meanTokens += tokenDelta / count;
        meanMillis += (firstByteMillis - meanMillis) / count;
        tokenVariation += tokenDelta * (unsharedTokens - meanTokens);
        covariation += tokenDelta * (firstByteMillis - meanMillis);
    }

    /** Returns the milliseconds for each token, empty if too little is known. */
    OptionalDouble millisPerToken() {
        return count < MIN_ANSWERS || tokenVariation < MIN_VARIANCE * count
                ? OptionalDouble.empty()
                : OptionalDouble.of(Math.max(0, Math.min(MAX_MILLIS_PER_TOKEN, covariation / tokenVariation)));
    }
}
