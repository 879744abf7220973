package org.cuminspur.traffic;

import java.util.LinkedHashMap;
import java.util.Map;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * What this instance knows of one upstream: its entry, its load, and how its requests end.
 *
 * <p>Not thread-safe; used on the traffic thread. Counts belong to one start of the upstream's process.
 */
public final class UpstreamState {
    /** Time in which a reported load loses most of its meaning; a few times as long as a request lasts. */
    private static final double REPORT_DECAY_MS = 8_000;

    /** Time that an entry may be old when it arrives, added to how long the upstream is cold. */
    private static final long MAX_ENTRY_AGE_MS = 1_000;

    private static final long SECOND_MS = 1_000;
    private static final int INITIAL_CAPACITY = 16;

    private final UpstreamHealth health = new UpstreamHealth();
    private final SlidingWindowCounter sentLastSecond = new SlidingWindowCounter(SECOND_MS, INITIAL_CAPACITY);
    private final Map<Object, Long> unanswered = new LinkedHashMap<>();
    private final long hash;
    private UpstreamEntry entry;
    private boolean domainDrained;
    private int coldShare;
    private int warmShare;
    private long coldUntilMillis;
    private int inFlight;
    private double otherLoadAtReport;
    private int waitingAtReport;
    private long reportedMillis = Long.MIN_VALUE;

    UpstreamState(UpstreamEntry entry, long nowMillis) {
        this.entry = entry;
        this.hash = Rendezvous.hash(entry.id().value());
        update(entry, nowMillis);
    }

    /** Returns what the upstream last said of itself. */
    public UpstreamEntry entry() {
        return entry;
    }

    public UpstreamId id() {
        return entry.id();
    }

    /** Returns how the requests sent to it have ended. */
    public UpstreamHealth health() {
        return health;
    }

    /** Returns this instance's requests in progress there. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns whether it takes new work at all. */
    public boolean acceptsNewWork() {
        return !entry.draining() && !domainDrained;
    }

    /** Returns whether it is known to be cold. */
    public boolean isCold(long nowMillis) {
        return nowMillis < coldUntilMillis;
    }

    /** Notes that it may have started anew or lost its caches, without having said so. */
    public void assumeCold(long nowMillis, long warmupMillis) {
        coldUntilMillis = Math.max(coldUntilMillis, nowMillis + warmupMillis);
    }

    /** Counts a request that is sent; {@code request} is told from others by identity or equality. */
    public void recordSent(Object request, long nowMillis) {
        inFlight++;
        sentLastSecond.add(nowMillis);
        unanswered.put(request, nowMillis);
    }

    /** Notes that an answer began. */
    public void recordResponseStarted(Object request) {
        unanswered.remove(request);
    }

    /** Ends a request that was counted. */
    public void recordEnded(Object request) {
        unanswered.remove(request);
        inFlight--;
    }

    /** Takes the load that the upstream reports, which includes this instance's requests. */
    public void recordReportedLoad(int running, int waiting, long nowMillis) {
        otherLoadAtReport = Math.max(0, running + waiting - inFlight);
        waitingAtReport = waiting;
        reportedMillis = nowMillis;
    }

    /** Returns for how long the oldest request without any byte of an answer has waited, 0 if there is none. */
    public long unansweredMillis(long nowMillis) {
        return unanswered.isEmpty()
                ? 0
                : nowMillis - unanswered.values().iterator().next();
    }

    /** Returns how far the last report can still be believed, from 0 to 1. */
    double reportWeight(long nowMillis) {
        return reportedMillis == Long.MIN_VALUE ? 0 : Math.exp((reportedMillis - nowMillis) / REPORT_DECAY_MS);
    }

    /** Returns the requests of other instances that the last report told of. */
    double otherLoadAtReport() {
        return otherLoadAtReport;
    }

    /** Returns the requests that waited there for a slot, as far as is known. */
    public double estimatedWaiting(long nowMillis) {
        return waitingAtReport * reportWeight(nowMillis);
    }

    /** Returns whether another request may be sent within this second. */
    boolean withinRateLimit(long nowMillis) {
        return sentLastSecond.count(nowMillis) < (isCold(nowMillis) ? coldShare : warmShare);
    }

    /** Returns whether nothing but its being cold forbids another request now. */
    boolean withinColdRateLimit(long nowMillis) {
        return !isCold(nowMillis) || sentLastSecond.count(nowMillis) < coldShare;
    }

    long hash() {
        return hash;
    }

    void update(UpstreamEntry newEntry, long nowMillis) {
        entry = newEntry;
        if (newEntry.remainingWarmupMillis() > 0) {
            coldUntilMillis = Math.max(coldUntilMillis, nowMillis + newEntry.remainingWarmupMillis() + MAX_ENTRY_AGE_MS);
        }
    }

    void setRateShares(int cold, int warm) {
        coldShare = cold;
        warmShare = warm;
    }

    void setDomainDrained(boolean drained) {
        domainDrained = drained;
    }

    boolean domainDrained() {
        return domainDrained;
    }
}
