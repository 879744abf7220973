package org.cuminspur.traffic;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminspur.id.UpstreamId;

/**
 * Remembers which upstream served each prompt last through this instance, and so has it cached.
 *
 * <p>Not thread-safe; confined to the traffic thread. Holds a bounded number of prompts, the latest ones.
 */
public final class PromptCacheHints {
    static final int MAX_PROMPTS = 1_024;

    /** Time for which an upstream is assumed to keep a prompt that it has read. */
    static final long KEPT_MS = 20_000;

    private record Hint(UpstreamId upstream, long servedMillis) {}

    private final Map<Long, Hint> hints = new LinkedHashMap<>();

    /** Records that an upstream has read a prompt. */
    public void recordServed(long key, UpstreamId upstream, long nowMillis) {
        hints.remove(key);
        hints.put(key, new Hint(upstream, nowMillis));
        if (hints.size() > MAX_PROMPTS) {
            hints.remove(hints.keySet().iterator().next());
        }
    }

    /** Returns the upstream that likely has a prompt cached, if one is known. */
    public Optional<UpstreamId> find(long key, long nowMillis) {
        return Optional.ofNullable(hints.get(key))
                .filter(hint -> nowMillis - hint.servedMillis() <= KEPT_MS)
                .map(Hint::upstream);
    }
}
