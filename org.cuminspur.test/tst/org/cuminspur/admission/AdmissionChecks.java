package org.cuminspur.admission;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.cuminspur.admission.AdmissionSimulation.Request;
import org.cuminspur.id.AccountId;

/** Checks the guarantees of admission on recorded requests; stateless. Each check returns a violation, if any. */
final class AdmissionChecks {
    /** Longest wait after which a request is still served in time. */
    static final long IN_TIME_MS = 500;

    private static final long REPLY_MS = 1_000;

    private AdmissionChecks() {}

    /** Returns the share of an account's requests that were served in time, of those that arrived in a period. */
    static double inTimeShare(List<Request> requests, AccountId account, long from, long to) {
        return requestsOf(requests, account)
                .filter(request -> request.arrivedMillis >= from && request.arrivedMillis < to)
                .mapToDouble(request ->
                        request.served && request.repliedMillis <= request.arrivedMillis + IN_TIME_MS ? 1 : 0)
                .average()
                .orElse(1);
    }

    /** Checks that a surge cost an account no more than a share of its rate served in time before. */
    static Optional<String> checkCost(
            List<Request> requests, AccountId account, long start, long surge, long end, double maxCost) {
        double before = inTimeShare(requests, account, start, surge);
        double during = inTimeShare(requests, account, surge, end);
        return before - during <= maxCost
                ? Optional.empty()
                : Optional.of(
                        account + " was served in time " + before + " before and " + during + " during the surge");
    }

    /** Checks that every request got one reply, and within the bound. */
    static Optional<String> checkAnsweredOnce(List<Request> requests, long now) {
        return requests.stream()
                .filter(request -> request.arrivedMillis < now - REPLY_MS)
                .filter(request -> request.replies != 1 || request.repliedMillis > request.arrivedMillis + REPLY_MS)
                .findFirst()
                .map(request -> request.account + " had " + request.replies + " replies, at "
                        + (request.repliedMillis - request.arrivedMillis) + " ms");
    }

    /** Returns the most requests of an account that were in progress at one time. */
    static int maxConcurrent(List<Request> requests, AccountId account) {
        TreeMap<Long, Integer> changes = new TreeMap<>();
        requestsOf(requests, account).filter(request -> request.served).forEach(request -> {
            changes.merge(request.repliedMillis, 1, Integer::sum);
            if (request.endedMillis >= 0) {
                changes.merge(request.endedMillis, -1, Integer::sum);
            }
        });
        int current = 0;
        int max = 0;
        for (int change : changes.values()) {
            current += change;
            max = Math.max(max, current);
        }
        return max;
    }

    /** Returns the most requests of an account that started within any {@code periodMillis}. */
    static long maxStarted(List<Request> requests, AccountId account, long periodMillis) {
        long[] starts = requestsOf(requests, account)
                .filter(request -> request.served)
                .mapToLong(request -> request.repliedMillis)
                .sorted()
                .toArray();
        int first = 0;
        int max = 0;
        for (int last = 0; last < starts.length; last++) {
            while (starts[last] - starts[first] >= periodMillis) {
                first++;
            }
            max = Math.max(max, last - first + 1);
        }
        return max;
    }

    private static Stream<Request> requestsOf(List<Request> requests, AccountId account) {
        return requests.stream().filter(request -> request.account.equals(account));
    }
}
