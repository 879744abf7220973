package org.cuminspur.standin.engine;

/**
 * How a stand-in engine behaves; immutable.
 *
 * @param slots requests served at the same time
 * @param cacheTokens prompt tokens that the prefix cache holds
 * @param promptTokenMicros time for a prompt token that is not cached
 * @param answerTokenMillis time for a token of the answer
 * @param answerTokens tokens of an answer, unless the request asks for fewer
 * @param coldMillis how long it is cold after its start
 * @param coldSlots requests in progress over which it falls over while cold
 * @param reportLagMillis age of the load that it reports
 */
public record EngineSettings(
        int slots,
        int cacheTokens,
        long promptTokenMicros,
        long answerTokenMillis,
        int answerTokens,
        long coldMillis,
        int coldSlots,
        long reportLagMillis) {
    /** A small engine that answers quickly. */
    public static final EngineSettings QUICK = new EngineSettings(16, 50_000, 20, 2, 20, 0, 2, 0);
}
