package org.cuminspur.traffic;

import java.util.List;
import java.util.OptionalLong;
import org.cuminspur.id.PromptPartId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Describes the prompt of a request; immutable.
 *
 * @param parts in reading order; the last one belongs to this request alone
 * @param promptTokens tokens in the prompt, 0 if unknown
 * @param maxOutputTokens tokens that may be generated, 0 if unknown
 */
public record PromptDescription(List<PromptPart> parts, int promptTokens, int maxOutputTokens) {
    /** The description of a request that gives no prompt. */
    public static final PromptDescription NONE = new PromptDescription(List.of(), 0, 0);

    public PromptDescription {
        parts = List.copyOf(parts);
    }

    /** Returns the number of tokens in the shared parts. */
    public int sharedPrefixTokens() {
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1L))
                .mapToInt(PromptPart::tokens)
                .sum();
    }

    /** Returns the parts that other requests may have too: all but the last one. */
    public List<PromptPartId> sharedParts() {
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1L))
                .map(part -> new PromptPartId(part.hash()))
                .distinct()
                .toList();
    }

    /** Returns a key that is equal for requests with the same shared parts, if there are any. */
    public OptionalLong sharedPrefixKey() {
        if (parts.size() < 2) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(parts.subList(0, parts.size() - 1).stream()
                .mapToLong(PromptPart::hash)
                .reduce(0, Rendezvous::mix));
    }
}
