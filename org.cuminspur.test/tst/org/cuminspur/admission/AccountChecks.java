package org.cuminspur.admission;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.cuminspur.admission.AccountBench.Request;
import org.cuminspur.id.AccountId;

/** Checks what admission promises over what a bench recorded; stateless. Each check returns what is wrong, if any. */
final class AccountChecks {
    /** Longest wait after which a request is still served in time. */
    static final long IN_TIME_MS = 500;

    private static final long REPLY_MS = 1_000;

    private AccountChecks() {}

    /** Returns the share of an account's requests that were served in time, of those that arrived in a period. */
    static double inTime(List<Request> requests, AccountId account, long from, long to) {
        return of(requests, account)
                .filter(request -> request.arrivedMillis >= from && request.arrivedMillis < to)
                .mapToDouble(request ->
                        request.served && request.repliedMillis <= request.arrivedMillis + IN_TIME_MS ? 1 : 0)
                .average()
                .orElse(1);
    }

    /** Checks that a surge cost an account no more than a share of its rate served in time before. */
    static Optional<String> cost(
            List<Request> requests, AccountId account, long start, long surge, long end, double max) {
        double before = inTime(requests, account, start, surge);
        double during = inTime(requests, account, surge, end);
        return before - during <= max
                ? Optional.empty()
                : Optional.of(
                        account + " was served in time " + before + " before and " + during + " during the surge");
    }

    /** Checks that every request was answered once and none was held back for longer than the bound. */
    static Optional<String> answered(List<Request> requests, long now) {
        return requests.stream()
                .filter(request -> request.arrivedMillis < now - REPLY_MS)
                .filter(request -> request.replies != 1 || request.repliedMillis > request.arrivedMillis + REPLY_MS)
                .findFirst()
                .map(request -> request.account + " had " + request.replies + " replies, at "
                        + (request.repliedMillis - request.arrivedMillis) + " ms");
    }

    /** Returns the most requests that an account had in progress at one time. */
    static int mostConcurrent(List<Request> requests, AccountId account) {
        TreeMap<Long, Integer> changes = new TreeMap<>();
        of(requests, account).filter(request -> request.served).forEach(request -> {
            changes.merge(request.repliedMillis, 1, Integer::sum);
            if (request.endedMillis >= 0) {
                changes.merge(request.endedMillis, -1, Integer::sum);
            }
        });
        int now = 0;
        int most = 0;
        for (int change : changes.values()) {
            now += change;
            most = Math.max(most, now);
        }
        return most;
    }

    /** Returns the most requests of an account that started within any period of a length. */
    static long mostStarted(List<Request> requests, AccountId account, long periodMillis) {
        long[] starts = of(requests, account)
                .filter(request -> request.served)
                .mapToLong(request -> request.repliedMillis)
                .sorted()
                .toArray();
        int first = 0;
        int most = 0;
        for (int last = 0; last < starts.length; last++) {
            while (starts[last] - starts[first] >= periodMillis) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    private static Stream<Request> of(List<Request> requests, AccountId account) {
        return requests.stream().filter(request -> request.account.equals(account));
    }
}
