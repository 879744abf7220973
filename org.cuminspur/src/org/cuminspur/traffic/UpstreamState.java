package org.cuminspur.traffic;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;
import org.cuminspur.ratelimit.NamedLimit;
import org.cuminspur.rollout.VersionRole;

/**
 * This instance's state of one upstream: its entry, its load, and the outcomes of its requests.
 *
 * <p>Not thread-safe; confined to the traffic thread. Belongs to one start of the upstream's process.
 */
public final class UpstreamState implements Destination {
    /** Time constant with which a load report loses weight; a few times the duration of a request. */
    private static final double REPORT_DECAY_MS = 8_000;

    /**
     * Time constant with which a load notice loses weight, and a load report of an upstream that gets no new work: the
     * load that they state lasts about as long as a request.
     */
    private static final double SHORT_DECAY_MS = 1_000;

    /** How old an entry may be when it arrives; added to the remaining warm-up time. */
    private static final long MAX_ENTRY_AGE_MS = 1_000;

    /** Time in which a restart, during which connections are refused, shows in the upstream's entry. */
    private static final long RESTART_VISIBLE_MS = 5_000;

    private static final long SECOND_MS = 1_000;
    private static final int INITIAL_CAPACITY = 16;

    private final UpstreamHealth health = new UpstreamHealth();
    private final SlidingWindowCounter sentLastSecond = new SlidingWindowCounter(SECOND_MS, INITIAL_CAPACITY);
    private final Map<Object, Long> unanswered = new LinkedHashMap<>();
    private final long hash;
    private final UpstreamWithdrawal withdrawal;
    private UpstreamEntry entry;
    private boolean domainDrained;
    private int coldShare;
    private int warmShare;
    private long coldUntilMillis;
    private int inFlight;
    private double otherLoadAtReport;
    private int waitingAtReport;
    private long reportedMillis = Long.MIN_VALUE;
    private double expectedShare = 1;
    private double otherLoadAtNotice;
    private long noticedMillis = Long.MIN_VALUE;
    private long unreachableMillis = Long.MIN_VALUE;
    private UpstreamStanding standing = UpstreamStanding.READY;
    private long standingSinceMillis;
    private Optional<NamedLimit> namedLimit = Optional.empty();
    private long leftOutUntilMillis = Long.MIN_VALUE / 2;
    private boolean invalidPauseSeen;
    private VersionRole versionRole = VersionRole.SERVING;

    UpstreamState(UpstreamEntry entry, UpstreamWithdrawal withdrawal, long nowMillis) {
        this.entry = entry;
        this.withdrawal = withdrawal;
        this.hash = Rendezvous.hash(entry.id().value());
        this.standingSinceMillis = nowMillis;
        update(entry, nowMillis);
    }

    /** Returns what is believed of its process. */
    public UpstreamStanding standing() {
        return standing;
    }

    /** Returns when that came to be believed. */
    public long standingSinceMillis() {
        return standingSinceMillis;
    }

    /** Returns the upstream's latest entry. */
    public UpstreamEntry entry() {
        return entry;
    }

    public UpstreamId id() {
        return entry.id();
    }

    @Override
    public String host() {
        return entry.host();
    }

    @Override
    public int port() {
        return entry.port();
    }

    /** Returns the health as seen from the outcomes of requests. */
    public UpstreamHealth health() {
        return health;
    }

    /** Returns the limit that the last response to this instance named, if it did. */
    public Optional<NamedLimit> namedLimit() {
        return namedLimit;
    }

    /** Records the limit that a response named, empty if it named none. */
    public void recordNamedLimit(Optional<NamedLimit> limit) {
        namedLimit = limit;
    }

    /** Lets it take no request until a time, since its limit allows none. */
    public void leaveOutUntil(long millis) {
        leftOutUntilMillis = millis;
    }

    /** Lets it take no request for a time that it asked for; a shorter one does not shorten an earlier one. */
    public void pause(long millis, long nowMillis) {
        withdrawal.pauseUntil(nowMillis + millis);
    }

    /** Records that it asked for something that is no time; returns whether that is new. */
    public boolean recordInvalidPause() {
        boolean first = !invalidPauseSeen;
        invalidPauseSeen = true;
        return first;
    }

    /** Returns how long it still takes no request because of its limit or a pause, 0 if it may take one. */
    public long leftOutMillis(long nowMillis) {
        return Math.max(0, Math.max(leftOutUntilMillis, withdrawal.pausedUntilMillis()) - nowMillis);
    }

    /** Returns whether it may take new work by its entry, its failure domain and, while it is cold, its rate share. */
    public boolean mayTakeRequest(long nowMillis) {
        return acceptsNewWork() && withinColdRateLimit(nowMillis);
    }

    /** Returns the number of this instance's requests in progress. */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns whether neither the upstream nor its failure domain is drained, it has not said that it leaves, and its
     * software version is not retired.
     */
    public boolean acceptsNewWork() {
        return !entry.draining() && !domainDrained && !withdrawal.isLeaving() && versionRole != VersionRole.RETIRED;
    }

    /** Returns whether it takes requests that are not bound to its software version. */
    public boolean acceptsUnboundWork() {
        return versionRole == VersionRole.SERVING;
    }

    /** Sets which requests a roll-out leaves to its software version. */
    public void setVersionRole(VersionRole role) {
        versionRole = role;
    }

    /** Records that it said in a response that it leaves; returns whether that is new. A process never takes it back. */
    public boolean recordLeaving(long nowMillis) {
        boolean first = withdrawal.recordLeaving();
        updateStanding(nowMillis);
        return first;
    }

    /** Records that its entry is gone, or names a later process; what remains are requests in progress. */
    void recordRemoved(long nowMillis) {
        changeStanding(UpstreamStanding.GONE, nowMillis);
    }

    private void updateStanding(long nowMillis) {
        if (standing != UpstreamStanding.GONE) {
            boolean leaving = entry.draining() || withdrawal.isLeaving();
            UpstreamStanding kept = domainDrained ? UpstreamStanding.DOMAIN_DRAINED : UpstreamStanding.READY;
            changeStanding(leaving ? UpstreamStanding.LEAVING : kept, nowMillis);
        }
    }

    private void changeStanding(UpstreamStanding next, long nowMillis) {
        if (next != standing) {
            standing = next;
            standingSinceMillis = nowMillis;
        }
    }

    /** Returns whether it is known or assumed to be cold. */
    public boolean isCold(long nowMillis) {
        return nowMillis < coldUntilMillis;
    }

    /** Treats it as cold, since it may have restarted or lost its caches before its entry shows it. */
    public void assumeCold(long nowMillis, long warmupMillis) {
        coldUntilMillis = Math.max(coldUntilMillis, nowMillis + warmupMillis);
    }

    /** Records a sent request; {@code request} must differ from others in progress by {@code equals}. */
    public void recordSent(Object request, long nowMillis) {
        inFlight++;
        sentLastSecond.add(nowMillis);
        unanswered.put(request, nowMillis);
    }

    /** Records that the response to a request has started. */
    public void recordResponseStarted(Object request) {
        unanswered.remove(request);
    }

    /** Records the end of a request that was sent. */
    public void recordEnded(Object request) {
        unanswered.remove(request);
        inFlight--;
    }

    /** Records that no connection to it could be made. */
    public void recordUnreachable(long nowMillis) {
        unreachableMillis = nowMillis;
    }

    /** Returns whether it may have restarted, perhaps with other software, before its entry shows it. */
    public boolean mayHaveRestarted(long nowMillis) {
        return unreachableMillis != Long.MIN_VALUE && nowMillis - unreachableMillis < RESTART_VISIBLE_MS;
    }

    /** Records the load that the upstream reports, which includes this instance's requests. */
    public void recordReportedLoad(int running, int waiting, long nowMillis) {
        otherLoadAtReport = Math.max(0, running + waiting - inFlight);
        waitingAtReport = waiting;
        reportedMillis = nowMillis;
    }

    /** Records the load that a notice states, which includes this instance's requests. */
    void recordNotice(int load, long nowMillis) {
        otherLoadAtNotice = Math.max(0, load - inFlight);
        noticedMillis = nowMillis;
    }

    /** Returns the time since the last notice, {@link Long#MAX_VALUE} if there has been none. */
    long noticeAgeMillis(long nowMillis) {
        return noticedMillis == Long.MIN_VALUE ? Long.MAX_VALUE : nowMillis - noticedMillis;
    }

    /**
     * Estimates the number of other instances' requests from this instance's reports.
     *
     * @param loadPerShare load to expect for each unit of the expected share; counts the more the older the report is
     */
    double reportedOtherLoad(double loadPerShare, long nowMillis) {
        double weight = reportWeight(nowMillis);
        return weight * otherLoadAtReport + (1 - weight) * expectedShare * loadPerShare;
    }

    /** Estimates the number of other instances' requests from reports and notices. */
    double otherLoad(double loadPerShare, long nowMillis) {
        double reported = reportedOtherLoad(loadPerShare, nowMillis);
        if (noticedMillis == Long.MIN_VALUE || reportedMillis > noticedMillis) {
            return reported;
        }
        double noticeWeight = Math.exp((noticedMillis - nowMillis) / SHORT_DECAY_MS);
        return noticeWeight * otherLoadAtNotice + (1 - noticeWeight) * reported;
    }

    /** Returns the age in milliseconds of the oldest request without any response byte, 0 if there is none. */
    public long unansweredMillis(long nowMillis) {
        return unanswered.isEmpty()
                ? 0
                : nowMillis - unanswered.values().iterator().next();
    }

    /** Returns the weight of the last load report by its age, from 0 to 1. */
    double reportWeight(long nowMillis) {
        double decayMillis = expectedShare > 0 ? REPORT_DECAY_MS : SHORT_DECAY_MS;
        return reportedMillis == Long.MIN_VALUE ? 0 : Math.exp((reportedMillis - nowMillis) / decayMillis);
    }

    /** Returns the time since the last load report, empty if there has been none. */
    OptionalLong reportAgeMillis(long nowMillis) {
        return reportedMillis == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(nowMillis - reportedMillis);
    }

    /** Returns the number of other instances' requests at the last load report. */
    double otherLoadAtReport() {
        return otherLoadAtReport;
    }

    /** Returns the estimated number of requests waiting for a slot, by the last load report. */
    public double estimatedWaiting(long nowMillis) {
        return waitingAtReport * reportWeight(nowMillis);
    }

    /** Returns whether the rate share that applies, cold or warm, allows another request now. */
    boolean withinRateLimit(long nowMillis) {
        return sentLastSecond.count(nowMillis) < (isCold(nowMillis) ? coldShare : warmShare);
    }

    /** Returns whether the rate share of a cold upstream allows another request now; always true if it is warm. */
    boolean withinColdRateLimit(long nowMillis) {
        return !isCold(nowMillis) || sentLastSecond.count(nowMillis) < coldShare;
    }

    long hash() {
        return hash;
    }

    void update(UpstreamEntry newEntry, long nowMillis) {
        entry = newEntry;
        if (newEntry.remainingWarmupMillis() > 0) {
            coldUntilMillis =
                    Math.max(coldUntilMillis, nowMillis + newEntry.remainingWarmupMillis() + MAX_ENTRY_AGE_MS);
        }
        updateStanding(nowMillis);
    }

    void setRateShares(int cold, int warm) {
        coldShare = cold;
        warmShare = warm;
    }

    /** Returns the share of the service's requests to expect here, in any unit that its upstreams have in common. */
    double expectedShare() {
        return expectedShare;
    }

    void setExpectedShare(double share) {
        expectedShare = share;
    }

    void setDomainDrained(boolean drained, long nowMillis) {
        domainDrained = drained;
        updateStanding(nowMillis);
    }

    boolean domainDrained() {
        return domainDrained;
    }
}
