package org.cuminspur.benchmarks.replay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.routing.LoadReport;

/**
 * An engine reduced to what placement meets: slots, a prefix cache of limited size, a lagging load, a cold start.
 *
 * <p>Used by one thread.
 */
final class ReplayEngine {
    static final int SLOTS = 128;
    static final int COLD_BEARS = 8;
    static final long COLD_MS = 30_000;
    private static final long CACHE_TOKENS = 1_500_000;

    private record Load(long atMillis, int inProgress) {}

    private final String name;
    private final FailureDomainId domain;
    private final long reportLagMillis;
    private final LinkedHashMap<Long, Integer> cache = new LinkedHashMap<>(64, 0.75f, true);
    private final Deque<Load> history = new ArrayDeque<>();
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private long cachedTokens;
    private long startMillis = 1;
    private int inProgress;
    private boolean down;

    ReplayEngine(String name, FailureDomainId domain, long reportLagMillis) {
        this.name = name;
        this.domain = domain;
        this.reportLagMillis = reportLagMillis;
    }

    String name() {
        return name;
    }

    FailureDomainId domain() {
        return domain;
    }

    int inProgress() {
        return inProgress;
    }

    boolean down() {
        return down;
    }

    long startMillis() {
        return startMillis;
    }

    /** Ends the process: what it served and cached is gone. */
    void stop(long now) {
        down = true;
        inProgress = 0;
        waiting.clear();
        cache.clear();
        cachedTokens = 0;
        history.clear();
        startMillis = now;
    }

    /** Starts the process anew, cold. */
    void start(long now) {
        stop(now);
        down = false;
    }

    /** Returns what it bears; the first half of a cold start bears little, then it grows evenly. */
    double bears(long now) {
        double age = (double) (now - startMillis) / COLD_MS;
        return startMillis == 1 || age >= 1 ? Double.MAX_VALUE : COLD_BEARS + (SLOTS - COLD_BEARS) * age;
    }

    /** Takes a request; {@code begin} runs once it has a slot. */
    void take(long now, Runnable begin) {
        inProgress++;
        note(now);
        if (inProgress > SLOTS) {
            waiting.add(begin);
        } else {
            begin.run();
        }
    }

    /** Ends a request. */
    void end(long now) {
        inProgress--;
        note(now);
        if (!waiting.isEmpty()) {
            waiting.poll().run();
        }
    }

    /** Returns how many tokens of a chat's prompt are cached. */
    int cached(long chat, int promptTokens) {
        return Math.min(promptTokens, cache.getOrDefault(chat, 0));
    }

    /** Puts a chat's prompt and answer in the cache. */
    void store(long chat, int tokens) {
        Integer old = cache.put(chat, tokens);
        cachedTokens += tokens - (old == null ? 0 : old);
        var eldest = cache.entrySet().iterator();
        while (cachedTokens > CACHE_TOKENS && eldest.hasNext()) {
            Map.Entry<Long, Integer> entry = eldest.next();
            cachedTokens -= entry.getValue();
            eldest.remove();
        }
    }

    LoadReport report(long now) {
        while (history.size() > 1 && secondOldest().atMillis() <= now - reportLagMillis) {
            history.poll();
        }
        boolean known = !history.isEmpty() && history.peek().atMillis() <= now - reportLagMillis;
        return new LoadReport(known ? history.peek().inProgress() : 0, SLOTS, startMillis);
    }

    private Load secondOldest() {
        var iterator = history.iterator();
        iterator.next();
        return iterator.next();
    }

    private void note(long now) {
        if (!history.isEmpty() && history.peekLast().atMillis() == now) {
            history.pollLast();
        }
        history.add(new Load(now, inProgress));
        while (history.size() > 1 && secondOldest().atMillis() <= now - reportLagMillis) {
            history.poll();
        }
    }
}
