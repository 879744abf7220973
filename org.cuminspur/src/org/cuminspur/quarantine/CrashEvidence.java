package org.cuminspur.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.traffic.UpstreamProcessId;

/**
 * The crashes that each suspect may have caused, as far as an instance knows.
 *
 * <p>Not thread-safe, of bounded size. The same facts give the same state in any order and number: a crash counts once,
 * and it stays cleared once it is. A crash counts only after a while, so that instances that know better can object. Those
 * of a part count only if no single request explains them all.
 */
final class CrashEvidence {
    /** Crashes from which a suspect is quarantined. */
    static final int QUARANTINE_CRASHES = 2;

    /** Time in which objections arrive: several round trips between failure domains. */
    static final long OBJECTION_MS = 80;

    /** How long crashes are kept of a suspect that is not quarantined. */
    static final long SUSPECT_RETENTION_MS = 120_000;

    /** How long they are kept of one that is, after the last one. */
    static final long QUARANTINE_RETENTION_MS = 1_200_000;

    private static final int MAX_SUSPECTS = 1_024;
    private static final int MAX_CRASHES_PER_SUSPECT = 8;

    /** Requests that are kept for one crash, those with the lowest hashes. */
    private static final int MAX_REQUESTS_PER_CRASH = 8;

    private static final class Crash {
        private final TreeSet<Long> requests = new TreeSet<>();
        private long atMillis;
        private boolean cleared;

        Crash(long atMillis) {
            this.atMillis = atMillis;
        }
    }

    private final Map<SuspectId, Map<UpstreamProcessId, Crash>> crashes = new LinkedHashMap<>();
    private Set<Integer> requestPrefixes = Set.of();
    private boolean prefixesChanged;

    /** Adds a fact; returns whether it changes what is known. */
    boolean add(SuspectCrash fact, long nowMillis) {
        Map<UpstreamProcessId, Crash> ofSuspect =
                crashes.computeIfAbsent(fact.suspect(), absent -> new LinkedHashMap<>());
        Crash known = ofSuspect.get(fact.process());
        boolean changed = known == null || (fact.cleared() && !known.cleared);
        if (known == null) {
            known = new Crash(nowMillis - fact.ageMillis());
            ofSuspect.put(fact.process(), known);
            prefixesChanged = true;
        }
        changed |= known.requests.add(fact.request());
        if (known.requests.size() > MAX_REQUESTS_PER_CRASH) {
            known.requests.pollLast();
        }
        known.atMillis = Math.min(known.atMillis, nowMillis - fact.ageMillis());
        known.cleared |= fact.cleared();
        limit(ofSuspect);
        return changed;
    }

    /** Clears a suspect of all crashes that an answer shows it did not cause; returns the facts that changed. */
    List<SuspectCrash> clear(SuspectId suspect, long answeredMillis, long nowMillis) {
        List<SuspectCrash> changed = new ArrayList<>();
        crashes.getOrDefault(suspect, Map.of()).forEach((process, crash) -> {
            if (!crash.cleared && answeredMillis >= crash.atMillis - AnsweredSuspects.RETENTION_MS) {
                crash.cleared = true;
                facts(suspect, process, crash, nowMillis).forEach(changed::add);
            }
        });
        return changed;
    }

    boolean isCleared(SuspectId suspect, UpstreamProcessId process) {
        Crash known = crashes.getOrDefault(suspect, Map.of()).get(process);
        return known != null && known.cleared;
    }

    /** Returns whether the last crash that a suspect was accused of is known not to be its doing. */
    boolean isLastCleared(SuspectId suspect) {
        return crashes.getOrDefault(suspect, Map.of()).values().stream()
                .max(Comparator.comparingLong(crash -> crash.atMillis))
                .map(crash -> crash.cleared)
                .orElse(false);
    }

    /** Returns the number of crashes that count against a suspect now. */
    int count(SuspectId suspect, long nowMillis) {
        List<Crash> counted = standing(suspect)
                .filter(crash -> nowMillis - crash.atMillis >= OBJECTION_MS)
                .toList();
        return !suspect.isRequest() && oneRequestExplains(counted) ? Math.min(1, counted.size()) : counted.size();
    }

    /** Returns the number of crashes that stand against a suspect, those included to which there may be objections. */
    int standingCount(SuspectId suspect) {
        return (int) standing(suspect).count();
    }

    /** Returns whether a request may be suspect, by the part of its hash that needs no look at its body. */
    boolean maySuspectRequest(int prefix) {
        if (prefixesChanged) {
            prefixesChanged = false;
            requestPrefixes = crashes.keySet().stream()
                    .filter(SuspectId::isRequest)
                    .map(suspect -> RequestIdentity.prefix(suspect.hash()))
                    .collect(Collectors.toSet());
        }
        return requestPrefixes.contains(prefix);
    }

    /** Returns when the last crash that stands against a suspect was, {@link Long#MIN_VALUE} if there is none. */
    long lastMillis(SuspectId suspect) {
        return standing(suspect).mapToLong(crash -> crash.atMillis).max().orElse(Long.MIN_VALUE);
    }

    boolean isQuarantined(SuspectId suspect, long nowMillis) {
        return !crashes.isEmpty() && count(suspect, nowMillis) >= QUARANTINE_CRASHES;
    }

    boolean isSuspect(SuspectId suspect) {
        return !crashes.isEmpty() && standing(suspect).findAny().isPresent();
    }

    Set<SuspectId> quarantined(long nowMillis) {
        return crashes.keySet().stream()
                .filter(suspect -> isQuarantined(suspect, nowMillis))
                .collect(Collectors.toSet());
    }

    /** Returns what is known of a suspect. */
    Stream<SuspectCrash> facts(SuspectId suspect, long nowMillis) {
        return crashes.getOrDefault(suspect, Map.of()).entrySet().stream()
                .flatMap(crash -> facts(suspect, crash.getKey(), crash.getValue(), nowMillis));
    }

    void evictExpired(long nowMillis) {
        prefixesChanged |= crashes.keySet().removeIf(suspect -> expiresMillis(suspect, nowMillis) <= nowMillis);
        while (crashes.size() > MAX_SUSPECTS) {
            crashes.keySet().stream()
                    .min(Comparator.comparingLong(suspect -> expiresMillis(suspect, nowMillis)))
                    .ifPresent(crashes::remove);
        }
    }

    private long expiresMillis(SuspectId suspect, long nowMillis) {
        long lastMillis = crashes.get(suspect).values().stream()
                .mapToLong(crash -> crash.atMillis)
                .max()
                .orElse(Long.MIN_VALUE);
        return lastMillis + (isQuarantined(suspect, nowMillis) ? QUARANTINE_RETENTION_MS : SUSPECT_RETENTION_MS);
    }

    private Stream<Crash> standing(SuspectId suspect) {
        return crashes.getOrDefault(suspect, Map.of()).values().stream().filter(crash -> !crash.cleared);
    }

    private static boolean oneRequestExplains(List<Crash> counted) {
        return !counted.isEmpty()
                && counted.get(0).requests.stream()
                        .anyMatch(request -> counted.stream().allMatch(crash -> crash.requests.contains(request)));
    }

    /** Drops the oldest crashes, those that are cleared first. */
    private static void limit(Map<UpstreamProcessId, Crash> ofSuspect) {
        while (ofSuspect.size() > MAX_CRASHES_PER_SUSPECT) {
            ofSuspect.entrySet().stream()
                    .min(Comparator.<Map.Entry<UpstreamProcessId, Crash>, Boolean>comparing(
                                    crash -> !crash.getValue().cleared)
                            .thenComparingLong(crash -> crash.getValue().atMillis))
                    .map(Map.Entry::getKey)
                    .ifPresent(ofSuspect::remove);
        }
    }

    private static Stream<SuspectCrash> facts(
            SuspectId suspect, UpstreamProcessId process, Crash crash, long nowMillis) {
        long ageMillis = Math.max(0, nowMillis - crash.atMillis);
        return crash.requests.stream()
                .map(request -> new SuspectCrash(suspect, process, request, ageMillis, crash.cleared));
    }
}
