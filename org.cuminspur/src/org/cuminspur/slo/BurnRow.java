package org.cuminspur.slo;

import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.ServiceId;

/**
 * Good and bad requests of one service and client account; immutable.
 *
 * @param targetShare share of requests that must be good
 * @param counts counts by the label of the window
 */
public record BurnRow(ServiceId service, AccountId account, double targetShare, Map<String, RequestCounts> counts) {
    public BurnRow {
        counts = Map.copyOf(counts);
    }

    /** Returns the counts of a window. */
    public RequestCounts countsIn(String window) {
        return counts.getOrDefault(window, RequestCounts.NONE);
    }

    /** Returns the burn rate in a window. */
    public double burnRate(String window) {
        return countsIn(window).burnRate(targetShare);
    }

    /** Returns the share of the error budget of the longest window that is left; negative once it is overspent. */
    public double budgetLeft() {
        return 1 - burnRate(BurnWindow.SLOW.longLabel());
    }

    /** Returns the sum with the same service's and account's row of another instance. */
    BurnRow plus(BurnRow other) {
        Map<String, RequestCounts> sums = Stream.of(counts, other.counts)
                .flatMap(each -> each.entrySet().stream())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, RequestCounts::plus));
        return new BurnRow(service, account, targetShare, sums);
    }
}
