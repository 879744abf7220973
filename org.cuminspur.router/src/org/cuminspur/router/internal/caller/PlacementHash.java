package org.cuminspur.router.internal.caller;

import com.fasterxml.jackson.databind.JsonNode;
import org.cuminspur.config.AccountSpec;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Derives the hash that a request is placed by; stateless and thread-safe.
 *
 * <p>A chat that returns repeats its first messages, so their hash leads it to the engine that has them cached. A caller
 * may name the chat itself in {@code prompt_cache_key}.
 */
final class PlacementHash {
    private static final int OPENING_MESSAGES = 2;

    private PlacementHash() {}

    static long of(AccountSpec account, CallerRequest request) {
        return Rendezvous.mix(Rendezvous.hash(account.id().value()), Rendezvous.hash(chat(request)));
    }

    private static String chat(CallerRequest request) {
        JsonNode named = request.json().path("prompt_cache_key");
        if (named.isTextual()) {
            return named.asText();
        }
        JsonNode messages = request.json().path("messages");
        if (!messages.isArray()) {
            return request.pathAndQuery();
        }
        StringBuilder opening = new StringBuilder();
        for (int i = 0; i < Math.min(OPENING_MESSAGES, messages.size()); i++) {
            opening.append(messages.get(i));
        }
        return opening.toString();
    }
}
