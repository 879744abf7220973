package org.cuminspur.reachability;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.cuminspur.traffic.UpstreamEntry;
import org.cuminspur.traffic.UpstreamProcessId;

/**
 * The paths from this instance to the upstreams of one service, and what it believes of them.
 *
 * <p>Not thread-safe. Holds the upstreams of the present view only, so its size is bounded by theirs. While there is a
 * doubt an inquiry runs, which tries connections until it is settled.
 */
final class ServicePath {
    /** Time for which the outcome of a new connection tells of the path. */
    private static final long EVIDENCE_MS = 2_000;

    /** Upstreams that must fail at once, or all if there are fewer. */
    private static final int MIN_FAILING = 2;

    /** Least time between inquiries that silence begins, since a slow response is no cut. */
    private static final long MIN_SILENCE_INTERVAL_MS = 2_000;

    private static final long MIN_RETURN_MS = 1_000;
    private static final long MAX_RETURN_MS = 8_000;

    /** Time between a return and the next cut up to which the next return takes longer. */
    private static final long FLAP_MS = 10_000;

    private final Map<UpstreamProcessId, UpstreamPath> paths = new LinkedHashMap<>();
    private final List<Consumer<PathState>> waiting = new ArrayList<>();
    private PathState state = PathState.REACHABLE;
    private long sinceMillis;
    private long inquirySinceMillis = UpstreamPath.NEVER;
    private long inquiryBeganMillis = UpstreamPath.NEVER;
    private int inquiries;
    private int rounds;
    private long returnMillis = MIN_RETURN_MS;
    private long returnedMillis = UpstreamPath.NEVER;

    ServicePath(long nowMillis) {
        sinceMillis = nowMillis;
    }

    /** Applies a newer view; what is known of a process is kept as long as it is listed. */
    void update(Collection<UpstreamEntry> entries) {
        List<UpstreamProcessId> listed =
                entries.stream().map(UpstreamProcessId::of).toList();
        paths.keySet().retainAll(listed);
        entries.forEach(entry -> paths.computeIfAbsent(UpstreamProcessId.of(entry), id -> new UpstreamPath(entry)));
    }

    Optional<UpstreamPath> find(UpstreamProcessId upstream) {
        return Optional.ofNullable(paths.get(upstream));
    }

    int size() {
        return paths.size();
    }

    PathState state() {
        return state;
    }

    /** Returns since when the state holds. */
    long sinceMillis() {
        return sinceMillis;
    }

    boolean isInquiring() {
        return inquirySinceMillis != UpstreamPath.NEVER;
    }

    /** Begins an inquiry and returns its number. */
    int beginInquiry(long nowMillis) {
        inquirySinceMillis = nowMillis;
        inquiryBeganMillis = nowMillis;
        rounds = 0;
        return ++inquiries;
    }

    /** Returns whether the inquiry with a number runs. */
    boolean isInquiry(int number) {
        return isInquiring() && inquiries == number;
    }

    /** Returns whether no byte came for a while, and none was missed so shortly before. */
    boolean isSilent(long nowMillis) {
        return nowMillis - inquiryBeganMillis >= MIN_SILENCE_INTERVAL_MS
                && paths.values().stream()
                        .allMatch(path -> nowMillis - path.receivedMillis() >= PathMonitor.SILENCE_MS);
    }

    /** Counts a round of an inquiry and returns the number of those before it. */
    int nextRound() {
        return rounds++;
    }

    /** Returns the upstreams whose paths were tried longest ago, but not within a time. */
    List<UpstreamPath> longestUntried(int limit, long withinMillis, long nowMillis) {
        return paths.values().stream()
                .filter(path -> nowMillis - path.triedMillis() >= withinMillis && !path.isProbing(nowMillis))
                .sorted(Comparator.comparingLong(UpstreamPath::triedMillis))
                .limit(limit)
                .toList();
    }

    List<UpstreamProcessId> failing() {
        return paths.entrySet().stream()
                .filter(path -> path.getValue().isFailing())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the number of upstreams that took a connection in the inquiry, and refused none after it. */
    long connected(long nowMillis) {
        long sinceMillis = Math.max(inquirySinceMillis, nowMillis - EVIDENCE_MS);
        return paths.values().stream()
                .filter(path -> !path.isFailing() && path.connectedMillis() >= sinceMillis)
                .count();
    }

    /** Returns whether so many paths fail that this instance may be cut off. */
    boolean mostFail(long nowMillis) {
        int failing = failing().size();
        return failing > 0 && failing >= Math.min(MIN_FAILING, paths.size()) && failing > connected(nowMillis);
    }

    /** Returns whether as many upstreams took a connection in the inquiry as fail. */
    boolean mostConnect(long nowMillis) {
        return connected(nowMillis) >= Math.max(1, failing().size());
    }

    /** Returns whether most of the paths that fail do so to upstreams that other instances have reached since. */
    boolean othersReach(long nowMillis) {
        long reached = paths.values().stream().filter(UpstreamPath::othersReach).count();
        return reached >= Math.min(MIN_FAILING, paths.size()) && reached > connected(nowMillis);
    }

    void enter(PathState next, long nowMillis) {
        if (next == PathState.RETURNING) {
            boolean flaps = nowMillis - returnedMillis < FLAP_MS;
            returnMillis = flaps ? Math.min(MAX_RETURN_MS, 2 * returnMillis) : MIN_RETURN_MS;
        } else if (state == PathState.RETURNING) {
            returnedMillis = nowMillis;
        }
        state = next;
        sinceMillis = nowMillis;
        if (next == PathState.REACHABLE) {
            inquirySinceMillis = UpstreamPath.NEVER;
        }
    }

    /** Returns the share of requests that use this path while they return to it. */
    double returnedShare(long nowMillis) {
        return (double) (nowMillis - sinceMillis) / returnMillis;
    }

    /** Keeps a callback until the inquiry is settled. */
    void await(Consumer<PathState> result) {
        waiting.add(result);
    }

    /** Passes the state on to a callback, unless that was done; as long as an inquiry runs, the path is not proved. */
    void settle(Consumer<PathState> result) {
        if (waiting.remove(result)) {
            result.accept(isInquiring() && state == PathState.REACHABLE ? PathState.DOUBTFUL : state);
        }
    }

    /** Passes the state on to all callbacks. */
    void settleAll() {
        List.copyOf(waiting).forEach(this::settle);
    }
}
