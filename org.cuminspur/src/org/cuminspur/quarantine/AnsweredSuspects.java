package org.cuminspur.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/** Remembers when requests with each suspect were answered last; not thread-safe, of bounded size. */
final class AnsweredSuspects {
    /** How long after an answer a crash is not put down to its suspects. */
    static final long RETENTION_MS = 10_000;

    private static final int MAX_SUSPECTS = 16_384;

    private final Map<SuspectId, Long> answeredMillis = new LinkedHashMap<>();

    /** Records an answer by the time at which it began. */
    void record(SuspectId suspect, long atMillis) {
        Long known = answeredMillis.get(suspect);
        if (known != null && known >= atMillis) {
            return;
        }
        answeredMillis.remove(suspect);
        answeredMillis.put(suspect, atMillis);
        while (answeredMillis.size() > MAX_SUSPECTS || oldestMillis() < atMillis - RETENTION_MS) {
            answeredMillis.remove(answeredMillis.keySet().iterator().next());
        }
    }

    /** Returns whether an answer after a crash, or shortly before it, shows that a suspect did not cause it. */
    boolean clears(SuspectId suspect, long crashMillis) {
        Long answered = answeredMillis.get(suspect);
        return answered != null && answered >= crashMillis - RETENTION_MS;
    }

    private long oldestMillis() {
        return answeredMillis.values().iterator().next();
    }
}
