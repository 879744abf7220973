package org.cuminspur.benchmarks.trace;

import java.util.List;

/**
 * One recorded chat, from which a trace makes many; immutable.
 *
 * @param account the client account that sends it
 * @param sharing how many chats made from it share one key, more than one for a popular chat
 */
public record ChatTemplate(String account, int sharing, List<Turn> turns) {
    /** One request of a chat; immutable. */
    public record Turn(int offsetMillis, int promptTokens, int answerTokens) {}

    public ChatTemplate {
        turns = List.copyOf(turns);
    }

    /** Returns the time from the first request to the last. */
    public int lengthMillis() {
        return turns.get(turns.size() - 1).offsetMillis();
    }
}
