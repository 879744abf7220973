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
 * <p>Used on the control thread only. What is granted at one time, counting every grant until its router must have let
 * go of it, never exceeds the limit less a reserve for the routers that do not report. A summer that is new to an
 * account grants no more than even shares until the grants of an earlier summer have run out.
 */
final class AccountLimitAllocator {
    /** Part of an even share that a router may use without a report. */
    static final double SILENT_PART = 0.25;

    private static final long MIN_TTL_MS = 3_000;
    private static final long TTL_PER_ROUTER_MS = 18;
    private static final long TTL_PER_REPORTER_MS = 1_200;
    private static final double HEADROOM = 1.5;

    private record Grant(AccountLimit limit, long untilMillis) {
        private static final Grant NONE = new Grant(new AccountLimit(0, 0), Long.MIN_VALUE);

        AccountLimit at(long now) {
            return now < untilMillis ? limit : NONE.limit;
        }
    }

    private record Reporter(AccountLimit wanted, Grant current, Grant earlier) {
        boolean live(long now) {
            return now < current.untilMillis;
        }

        double outstanding(ToDoubleFunction<AccountLimit> part, long now) {
            return Math.max(part.applyAsDouble(current.at(now)), part.applyAsDouble(earlier.at(now)));
        }
    }

    private record Account(long sinceMillis, Map<InstanceId, Reporter> reporters) {}

    private final Map<AccountId, Account> accounts = new HashMap<>();

    /** Takes a router's report and returns the router's share. */
    Share report(InstanceId from, Usage usage, AccountSpec spec, int routers, long now) {
        Account account = accounts.computeIfAbsent(usage.account(), id -> new Account(now, new HashMap<>()));
        Map<InstanceId, Reporter> reporters = account.reporters();
        Reporter before = reporters.getOrDefault(from, new Reporter(null, Grant.NONE, Grant.NONE));
        AccountLimit wanted = new AccountLimit(demand(usage.requestsPerSecond()), demand(usage.concurrent()));
        reporters.put(from, new Reporter(wanted, before.current(), before.earlier()));
        AccountLimit even = AccountLimit.evenShare(spec, routers);
        AccountLimit granted = new AccountLimit(
                divide(reporters, from, AccountLimit::requestsPerSecond, even, routers, now),
                divide(reporters, from, AccountLimit::concurrent, even, routers, now));
        long minTtl = Math.max(MIN_TTL_MS, TTL_PER_ROUTER_MS * routers);
        long ttl = Math.max(minTtl, TTL_PER_REPORTER_MS * expectedReporters(reporters.size(), routers));
        if (now < account.sinceMillis() + minTtl + AccountShareSystem.DECAY_MS) {
            granted = least(granted, even);
        }
        Grant grant = new Grant(granted, now + ttl + AccountShareSystem.DECAY_MS);
        reporters.put(from, new Reporter(wanted, grant, higher(before.current(), before.earlier(), now)));
        return new Share(usage.account(), granted.requestsPerSecond(), granted.concurrent(), ttl);
    }

    /** Returns how many routers may soon report, so that the first ones come back no faster than all can be heard. */
    private static int expectedReporters(int heard, int routers) {
        return Math.min(routers, 2 * heard);
    }

    /** Forgets routers whose grants have run out. */
    void forget(long now) {
        Iterator<Account> each = accounts.values().iterator();
        while (each.hasNext()) {
            Account account = each.next();
            account.reporters().values().removeIf(reporter -> !reporter.live(now));
            if (account.reporters().isEmpty()) {
                each.remove();
            }
        }
    }

    private static double divide(
            Map<InstanceId, Reporter> reporters,
            InstanceId own,
            ToDoubleFunction<AccountLimit> part,
            AccountLimit even,
            int routers,
            long now) {
        int silent = Math.max(0, routers - reporters.size());
        double limit = part.applyAsDouble(even) * routers;
        double available = limit - silent * SILENT_PART * part.applyAsDouble(even);
        double[] wanted = reporters.values().stream()
                .mapToDouble(reporter -> part.applyAsDouble(reporter.wanted()))
                .toArray();
        double fair = fairShare(wanted, part.applyAsDouble(reporters.get(own).wanted()), available);
        double others = reporters.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(own))
                .mapToDouble(entry -> entry.getValue().outstanding(part, now))
                .sum();
        return Math.max(0, Math.min(fair, available - others));
    }

    /** Returns the max-min fair share of one demand, with what is left spread evenly over all. */
    static double fairShare(double[] wanted, double own, double available) {
        double[] sorted = wanted.clone();
        Arrays.sort(sorted);
        double left = available;
        for (int i = 0; i < sorted.length; i++) {
            double level = left / (sorted.length - i);
            if (sorted[i] > level) {
                return Math.min(own, level);
            }
            left -= sorted[i];
        }
        return own + left / sorted.length;
    }

    private static Grant higher(Grant current, Grant earlier, long now) {
        AccountLimit a = current.at(now);
        AccountLimit b = earlier.at(now);
        AccountLimit most = new AccountLimit(
                Math.max(a.requestsPerSecond(), b.requestsPerSecond()), Math.max(a.concurrent(), b.concurrent()));
        boolean fromEarlier = most.equals(b);
        return new Grant(most, fromEarlier ? earlier.untilMillis() : current.untilMillis());
    }

    private static AccountLimit least(AccountLimit a, AccountLimit b) {
        return new AccountLimit(
                Math.min(a.requestsPerSecond(), b.requestsPerSecond()), Math.min(a.concurrent(), b.concurrent()));
    }

    private static double demand(double reported) {
        return Double.isFinite(reported) ? Math.max(0, reported) * HEADROOM : 0;
    }
}
