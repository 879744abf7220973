package org.cuminspur.standin.engine;

/**
 * How a stand-in engine behaves; immutable.
 *
 * @param slots maximum number of requests served concurrently
 * @param cacheTokens capacity of the prefix cache, in prompt tokens
 * @param promptTokenMicros processing time of an uncached prompt token
 * @param answerTokenMillis generation time of an answer token
 * @param answerTokens tokens of an answer, unless the request asks for fewer
 * @param coldMillis duration of the cold phase after the start
 * @param coldSlots requests in progress above which a cold engine fails for good
 * @param reportLagMillis age of the reported load
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
