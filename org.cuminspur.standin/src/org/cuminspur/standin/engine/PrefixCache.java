package org.cuminspur.standin.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A least-recently-used cache of prompt prefixes, bounded in tokens; thread-safe. */
final class PrefixCache {
    private final int capacityTokens;
    private final Map<String, Integer> tokensByPrefix = new LinkedHashMap<>(16, 0.75f, true);
    private int heldTokens;

    PrefixCache(int capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Returns the tokens of the longest cached prefix of the messages, and caches all their prefixes. */
    synchronized int cachedTokens(List<String> messages) {
        int cached = 0;
        int tokens = 0;
        StringBuilder prefix = new StringBuilder();
        for (String message : messages) {
            prefix.append(message).append('\n');
            int added = tokens(message);
            tokens += added;
            if (tokensByPrefix.get(prefix.toString()) != null) {
                cached = tokens;
            } else {
                tokensByPrefix.put(prefix.toString(), added);
                heldTokens += added;
            }
        }
        evict();
        return cached;
    }

    static int tokens(String message) {
        return Math.max(1, message.length() / 4);
    }

    private void evict() {
        Iterator<Integer> oldest = tokensByPrefix.values().iterator();
        while (heldTokens > capacityTokens && oldest.hasNext()) {
            heldTokens -= oldest.next();
            oldest.remove();
        }
    }
}
