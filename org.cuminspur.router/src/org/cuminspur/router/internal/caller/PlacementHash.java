package org.cuminspur.router.internal.caller;

import com.fasterxml.jackson.databind.JsonNode;
import org.cuminspur.config.AccountSpec;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Computes the hash by which a request is placed; stateless and thread-safe.
 *
 * <p>Every request of a chat repeats the chat's first messages, so their hash selects the engine that has them cached.
 * A caller may instead identify the chat in {@code prompt_cache_key}.
 */
final class PlacementHash {
    private static final int HASHED_MESSAGES = 2;

    private PlacementHash() {}

    static long of(AccountSpec account, CallerRequest request) {
        return Rendezvous.mix(Rendezvous.hash(account.id().value()), Rendezvous.hash(chatIdentity(request)));
    }

    private static String chatIdentity(CallerRequest request) {
        JsonNode cacheKey = request.json().path("prompt_cache_key");
        if (cacheKey.isTextual()) {
            return cacheKey.asText();
        }
        JsonNode messages = request.json().path("messages");
        if (!messages.isArray()) {
            return request.pathAndQuery();
        }
        StringBuilder firstMessages = new StringBuilder();
        for (int i = 0; i < Math.min(HASHED_MESSAGES, messages.size()); i++) {
            firstMessages.append(messages.get(i));
        }
        return firstMessages.toString();
    }
}
