package org.cuminspur.traffic;

import java.util.List;
import java.util.OptionalLong;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * What a request tells of its prompt; immutable.
 *
 * @param parts in the order they are read; the last one is the request's own
 * @param promptTokens tokens to read, 0 if unknown
 * @param maxOutputTokens tokens that it may generate, 0 if unknown
 */
public record PromptDescription(List<PromptPart> parts, int promptTokens, int maxOutputTokens) {
    /** A request that tells nothing. */
    public static final PromptDescription NONE = new PromptDescription(List.of(), 0, 0);

    public PromptDescription {
        parts = List.copyOf(parts);
    }

    /** Returns the tokens of the shared parts. */
    public int sharedPrefixTokens() {
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1L))
                .mapToInt(PromptPart::tokens)
                .sum();
    }

    /** Returns the key under which requests with the same shared parts meet, if there are any. */
    public OptionalLong sharedPrefixKey() {
        if (parts.size() < 2) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(parts.subList(0, parts.size() - 1).stream()
                .mapToLong(PromptPart::hash)
                .reduce(0, Rendezvous::mix));
    }
}
