package org.cuminspur.control.system;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.cuminspur.admission.AccountLimit;
import org.cuminspur.config.AccountSpec;
import org.cuminspur.control.message.PeerMessage.Share;
import org.cuminspur.control.message.PeerMessage.Usage;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.InstanceId;

/**
 * Divides accounts' limits over the routers that report heavy use.
 *
 * <p>Used on the control thread only. The grants outstanding at one time, counting each until it must have expired at
 * its router, never exceed the limit less a reserve for the routers that do not report. A new coordinator of an account
 * grants no more than even shares until the grants of an earlier coordinator have expired.
 */
final class AccountLimitAllocator {
    /** Fraction of an even share that a router may use without reporting. */
    static final double UNREPORTED_SHARE = 0.25;

    private static final long MIN_TTL_MS = 3_000;
    private static final long TTL_PER_ROUTER_MS = 18;
    private static final long TTL_PER_REPORTER_MS = 1_200;
    private static final double DEMAND_HEADROOM = 1.5;

    private record Grant(AccountLimit limit, long untilMillis) {
        private static final Grant NONE = new Grant(new AccountLimit(0, 0), Long.MIN_VALUE);

        AccountLimit limitAt(long now) {
            return now < untilMillis ? limit : NONE.limit;
        }
    }

    private record Reporter(AccountLimit demand, Grant current, Grant previous) {
        boolean isActive(long now) {
            return now < current.untilMillis;
        }

        double outstanding(ToDoubleFunction<AccountLimit> component, long now) {
            return Math.max(
                    component.applyAsDouble(current.limitAt(now)), component.applyAsDouble(previous.limitAt(now)));
        }
    }

    private record Allocation(long firstReportMillis, Map<InstanceId, Reporter> reporters) {}

    private final Map<AccountId, Allocation> allocations = new HashMap<>();

    /** Records a router's usage and returns its share of the account's limit. */
    Share allocate(InstanceId from, Usage usage, AccountSpec spec, int routers, long now) {
        Allocation allocation =
                allocations.computeIfAbsent(usage.account(), id -> new Allocation(now, new HashMap<>()));
        Map<InstanceId, Reporter> reporters = allocation.reporters();
        Reporter before = reporters.getOrDefault(from, new Reporter(null, Grant.NONE, Grant.NONE));
        AccountLimit demand =
                new AccountLimit(withHeadroom(usage.requestsPerSecond()), withHeadroom(usage.concurrent()));
        reporters.put(from, new Reporter(demand, before.current(), before.previous()));
        AccountLimit even = AccountLimit.evenShare(spec, routers);
        AccountLimit granted = new AccountLimit(
                grantable(reporters, from, AccountLimit::requestsPerSecond, even, routers, now),
                grantable(reporters, from, AccountLimit::concurrent, even, routers, now));
        long minTtl = Math.max(MIN_TTL_MS, TTL_PER_ROUTER_MS * routers);
        long ttl = Math.max(minTtl, TTL_PER_REPORTER_MS * expectedReporters(reporters.size(), routers));
        if (now < allocation.firstReportMillis() + minTtl + AccountShareSystem.SHARE_DECAY_MS) {
            granted = lowestLimit(granted, even);
        }
        Grant grant = new Grant(granted, now + ttl + AccountShareSystem.SHARE_DECAY_MS);
        reporters.put(from, new Reporter(demand, grant, highestGrant(before.current(), before.previous(), now)));
        return new Share(usage.account(), granted.requestsPerSecond(), granted.concurrent(), ttl);
    }

    /** Estimates how many routers will report, so that the first grants already last until all can be served. */
    private static int expectedReporters(int reporterCount, int routers) {
        return Math.min(routers, 2 * reporterCount);
    }

    /** Removes routers whose grants have expired. */
    void removeExpired(long now) {
        Iterator<Allocation> each = allocations.values().iterator();
        while (each.hasNext()) {
            Allocation allocation = each.next();
            allocation.reporters().values().removeIf(reporter -> !reporter.isActive(now));
            if (allocation.reporters().isEmpty()) {
                each.remove();
            }
        }
    }

    private static double grantable(
            Map<InstanceId, Reporter> reporters,
            InstanceId own,
            ToDoubleFunction<AccountLimit> component,
            AccountLimit even,
            int routers,
            long now) {
        int nonReporting = Math.max(0, routers - reporters.size());
        double limit = component.applyAsDouble(even) * routers;
        double available = limit - nonReporting * UNREPORTED_SHARE * component.applyAsDouble(even);
        double[] demands = reporters.values().stream()
                .mapToDouble(reporter -> component.applyAsDouble(reporter.demand()))
                .toArray();
        double fair =
                fairShare(demands, component.applyAsDouble(reporters.get(own).demand()), available);
        double outstandingOfOthers = reporters.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(own))
                .mapToDouble(entry -> entry.getValue().outstanding(component, now))
                .sum();
        return Math.max(0, Math.min(fair, available - outstandingOfOthers));
    }

    /** Returns the max-min fair share of one demand, with the remainder spread evenly over all. */
    static double fairShare(double[] demands, double ownDemand, double available) {
        double[] sorted = demands.clone();
        Arrays.sort(sorted);
        double remaining = available;
        for (int i = 0; i < sorted.length; i++) {
            double level = remaining / (sorted.length - i);
            if (sorted[i] > level) {
                return Math.min(ownDemand, level);
            }
            remaining -= sorted[i];
        }
        return ownDemand + remaining / sorted.length;
    }

    private static Grant highestGrant(Grant current, Grant previous, long now) {
        AccountLimit a = current.limitAt(now);
        AccountLimit b = previous.limitAt(now);
        AccountLimit highest = new AccountLimit(
                Math.max(a.requestsPerSecond(), b.requestsPerSecond()), Math.max(a.concurrent(), b.concurrent()));
        boolean fromPrevious = highest.equals(b);
        return new Grant(highest, fromPrevious ? previous.untilMillis() : current.untilMillis());
    }

    private static AccountLimit lowestLimit(AccountLimit a, AccountLimit b) {
        return new AccountLimit(
                Math.min(a.requestsPerSecond(), b.requestsPerSecond()), Math.min(a.concurrent(), b.concurrent()));
    }

    private static double withHeadroom(double reported) {
        return Double.isFinite(reported) ? Math.max(0, reported) * DEMAND_HEADROOM : 0;
    }
}
