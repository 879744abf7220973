package org.cuminspur.control.system;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.admission.AccountLimit;
import org.cuminspur.admission.AccountLimiter;
import org.cuminspur.admission.AccountLimiters;
import org.cuminspur.config.AccountSpec;
import org.cuminspur.control.ControlState;
import org.cuminspur.control.ControlStep;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.PeerRecord;
import org.cuminspur.control.message.PeerMessage.AccountShares;
import org.cuminspur.control.message.PeerMessage.AccountUsage;
import org.cuminspur.control.message.PeerMessage.Share;
import org.cuminspur.control.message.PeerMessage.Usage;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Keeps accounts within their limits over the whole fleet.
 *
 * <p>Used on the control thread only. Every router starts with an even share of each limit. It reports its few heaviest
 * accounts, each to the router that a rendezvous hash chooses to sum the account, and uses the share that comes back
 * until it expires; an expired share decays to the even share. The other accounts cost no messages.
 */
public final class AccountShareSystem implements ControlSystem {
    /** Time in which a share that has expired turns into the even share. */
    static final long DECAY_MS = 5_000;

    private static final int MAX_REPORTED = 4;
    private static final long SAMPLE_INTERVAL_MS = 500;
    private static final long MIN_REPORT_INTERVAL_MS = 1_000;
    private static final long REPORT_INTERVAL_PER_ROUTER_MS = 6;
    private static final long FIRST_REPORT_SPREAD_PER_ROUTER_MS = 500;
    private static final double MIN_HEAVY_RATE = 0.5;
    private static final double MIN_HEAVY_CONCURRENT = 2;

    private static final class Held {
        private InstanceId summer;
        private AccountLimit share;
        private long ttlMillis;
        private long validUntilMillis = Long.MIN_VALUE;
        private long sentMillis = Long.MIN_VALUE;
        private long nextReportMillis;
    }

    private record Sample(AccountSpec account, AccountLimiter.Demand demand) {
        Usage usage() {
            return new Usage(account.id(), demand.requestsPerSecond(), demand.concurrent());
        }
    }

    private final ControlState state;
    private final AccountLimiters limiters;
    private final RandomGenerator random;
    private final AccountLimitAllocator summer = new AccountLimitAllocator();
    private final Map<AccountId, Held> held = new HashMap<>();
    private long nextSampleMillis = Long.MIN_VALUE;

    public AccountShareSystem(ControlState state, RandomGenerator random) {
        this.state = state;
        this.limiters = state.accountLimiters();
        this.random = random;
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.onPeerMessage(AccountUsage.class, this::reported);
        handlers.onPeerMessage(AccountShares.class, this::granted);
    }

    @Override
    public void tick(ControlStep turn) {
        limiters.routerCount(liveRouters());
        if (turn.now() >= nextSampleMillis) {
            nextSampleMillis = turn.now() + SAMPLE_INTERVAL_MS;
            limiters.evictIdle(turn.now());
            summer.forget(turn.now());
            held.forEach((account, one) -> expireIfMoved(account, one, turn.now()));
            report(heaviest(turn.now()), turn);
        }
        limiters.stream().forEach(limiter -> limit(limiter, turn.now()));
        held.values()
                .removeIf(one -> turn.now() >= one.sentMillis + one.ttlMillis + DECAY_MS
                        && turn.now() > one.nextReportMillis + DECAY_MS);
    }

    private int liveRouters() {
        return 1 + (int) state.peers().filter(peer -> !peer.listed().leaving()).count();
    }

    private List<Sample> heaviest(long now) {
        return limiters.stream()
                .map(limiter -> new Sample(published(limiter), limiter.sampleDemand(now)))
                .filter(sample -> heavy(sample))
                .sorted(Comparator.<Sample>comparingDouble(
                                sample -> -sample.demand().requestsPerSecond())
                        .thenComparing(sample -> sample.account().id()))
                .limit(MAX_REPORTED)
                .toList();
    }

    private boolean heavy(Sample sample) {
        AccountLimiter.Demand demand = sample.demand();
        AccountLimit even = AccountLimit.evenShare(sample.account(), limiters.routerCount());
        double rate = Math.max(MIN_HEAVY_RATE, even.requestsPerSecond() * AccountLimitAllocator.SILENT_PART);
        double concurrent = Math.max(MIN_HEAVY_CONCURRENT, even.concurrent() * AccountLimitAllocator.SILENT_PART);
        return demand.limited() || demand.requestsPerSecond() >= rate || demand.concurrent() >= concurrent;
    }

    private void report(List<Sample> heavy, ControlStep turn) {
        Map<InstanceId, List<Usage>> due = heavy.stream()
                .filter(sample -> isDue(sample.account().id(), turn.now()))
                .collect(Collectors.groupingBy(
                        sample -> summerOf(sample.account().id()),
                        Collectors.mapping(Sample::usage, Collectors.toList())));
        due.forEach((to, usages) -> {
            usages.forEach(usage -> sent(held.get(usage.account()), to, turn.now()));
            AccountUsage message = new AccountUsage(usages);
            if (to.equals(state.self().id())) {
                reported(to, message, turn);
            } else {
                turn.send(to, message);
            }
        });
    }

    private boolean isDue(AccountId account, long now) {
        Held one = held.computeIfAbsent(account, id -> {
            Held first = new Held();
            first.nextReportMillis = now + random.nextLong(FIRST_REPORT_SPREAD_PER_ROUTER_MS * limiters.routerCount());
            return first;
        });
        return now >= one.nextReportMillis;
    }

    private void sent(Held one, InstanceId to, long now) {
        long interval = Math.max(MIN_REPORT_INTERVAL_MS, REPORT_INTERVAL_PER_ROUTER_MS * limiters.routerCount());
        one.summer = to;
        one.sentMillis = now;
        one.nextReportMillis = now + Math.max(interval, one.ttlMillis / 3);
    }

    private void reported(InstanceId from, AccountUsage message, ControlStep turn) {
        List<Share> shares = message.usages().stream()
                .filter(usage -> state.config().accounts().containsKey(usage.account()))
                .map(usage -> summer.report(
                        from,
                        usage,
                        state.config().accounts().get(usage.account()),
                        limiters.routerCount(),
                        turn.now()))
                .toList();
        AccountShares reply = new AccountShares(shares);
        if (from.equals(state.self().id())) {
            granted(from, reply, turn);
        } else if (!shares.isEmpty()) {
            turn.send(from, reply);
        }
    }

    private void granted(InstanceId from, AccountShares message, ControlStep turn) {
        message.shares().forEach(share -> granted(from, share, turn.now()));
    }

    /** Takes a share whose validity counts from the newest report, so that a late one is no longer valid. */
    private void granted(InstanceId from, Share share, long now) {
        Held one = held.get(share.account());
        if (one == null || !from.equals(one.summer) || now >= one.sentMillis + share.ttlMillis()) {
            return;
        }
        one.share = new AccountLimit(Math.max(0, share.requestsPerSecond()), Math.max(0, share.concurrent()));
        one.ttlMillis = share.ttlMillis();
        one.validUntilMillis = one.sentMillis + share.ttlMillis();
    }

    private void limit(AccountLimiter limiter, long now) {
        AccountSpec account = published(limiter);
        AccountLimit even = AccountLimit.evenShare(account, limiters.routerCount());
        Held one = held.get(account.id());
        limiter.limit(one == null || one.share == null ? even : shareOf(one, even, now), now);
    }

    private static AccountLimit shareOf(Held one, AccountLimit even, long now) {
        return now < one.validUntilMillis
                ? one.share
                : one.share.interpolate(even, Math.min(1, (double) (now - one.validUntilMillis) / DECAY_MS));
    }

    private void expireIfMoved(AccountId account, Held one, long now) {
        if (now < one.validUntilMillis && !one.summer.equals(summerOf(account))) {
            one.validUntilMillis = now;
            one.ttlMillis = 0;
            one.nextReportMillis = now;
        }
    }

    private AccountSpec published(AccountLimiter limiter) {
        AccountSpec used = limiter.account();
        return state.config().accounts().getOrDefault(used.id(), used);
    }

    private InstanceId summerOf(AccountId account) {
        long key = Rendezvous.hash(account.value());
        Stream<InstanceId> peers =
                state.peers().filter(peer -> !peer.listed().leaving()).map(PeerRecord::id);
        return Stream.concat(Stream.of(state.self().id()), peers)
                .max(Comparator.<InstanceId>comparingDouble(id -> Rendezvous.score(key, Rendezvous.hash(id.value()), 1))
                        .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }
}
