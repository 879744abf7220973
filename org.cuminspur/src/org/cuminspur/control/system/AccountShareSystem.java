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
 * accounts, each to the coordinator that a rendezvous hash chooses for the account, and uses the returned share until
 * it expires; an expired share decays to the even share. The other accounts cost no messages.
 */
public final class AccountShareSystem implements ControlSystem {
    /** Time in which an expired share decays to the even share. */
    static final long SHARE_DECAY_MS = 5_000;

    private static final int MAX_REPORTED_ACCOUNTS = 4;
    private static final long SAMPLE_INTERVAL_MS = 500;
    private static final long MIN_REPORT_INTERVAL_MS = 1_000;
    private static final long REPORT_INTERVAL_PER_ROUTER_MS = 6;
    private static final long FIRST_REPORT_SPREAD_PER_ROUTER_MS = 500;
    private static final double MIN_HEAVY_RATE = 0.5;
    private static final double MIN_HEAVY_CONCURRENT = 2;

    private static final class HeldShare {
        private InstanceId coordinator;
        private AccountLimit share;
        private long ttlMillis;
        private long validUntilMillis = Long.MIN_VALUE;
        private long lastReportMillis = Long.MIN_VALUE;
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
    private final AccountLimitAllocator allocator = new AccountLimitAllocator();
    private final Map<AccountId, HeldShare> heldShares = new HashMap<>();
    private long nextSampleMillis = Long.MIN_VALUE;

    public AccountShareSystem(ControlState state, RandomGenerator random) {
        this.state = state;
        this.limiters = state.accountLimiters();
        this.random = random;
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.onPeerMessage(AccountUsage.class, this::onUsage);
        handlers.onPeerMessage(AccountShares.class, this::onShares);
    }

    @Override
    public void tick(ControlStep step) {
        limiters.routerCount(nonLeavingRouterCount());
        if (step.now() >= nextSampleMillis) {
            nextSampleMillis = step.now() + SAMPLE_INTERVAL_MS;
            limiters.evictIdle(step.now());
            allocator.removeExpired(step.now());
            heldShares.forEach((account, heldShare) -> expireIfCoordinatorChanged(account, heldShare, step.now()));
            sendReports(heaviestAccounts(step.now()), step);
        }
        limiters.stream().forEach(limiter -> applyLimit(limiter, step.now()));
        heldShares
                .values()
                .removeIf(heldShare -> step.now() >= heldShare.lastReportMillis + heldShare.ttlMillis + SHARE_DECAY_MS
                        && step.now() > heldShare.nextReportMillis + SHARE_DECAY_MS);
    }

    private int nonLeavingRouterCount() {
        return 1 + (int) state.peers().filter(peer -> !peer.listed().leaving()).count();
    }

    private List<Sample> heaviestAccounts(long now) {
        return limiters.stream()
                .map(limiter -> new Sample(configuredAccount(limiter), limiter.sampleDemand(now)))
                .filter(sample -> isHeavy(sample))
                .sorted(Comparator.<Sample>comparingDouble(
                                sample -> -sample.demand().requestsPerSecond())
                        .thenComparing(sample -> sample.account().id()))
                .limit(MAX_REPORTED_ACCOUNTS)
                .toList();
    }

    private boolean isHeavy(Sample sample) {
        AccountLimiter.Demand demand = sample.demand();
        AccountLimit even = AccountLimit.evenShare(sample.account(), limiters.routerCount());
        double rate = Math.max(MIN_HEAVY_RATE, even.requestsPerSecond() * AccountLimitAllocator.UNREPORTED_SHARE);
        double concurrent = Math.max(MIN_HEAVY_CONCURRENT, even.concurrent() * AccountLimitAllocator.UNREPORTED_SHARE);
        return demand.limited() || demand.requestsPerSecond() >= rate || demand.concurrent() >= concurrent;
    }

    private void sendReports(List<Sample> heavy, ControlStep step) {
        Map<InstanceId, List<Usage>> due = heavy.stream()
                .filter(sample -> isReportDue(sample.account().id(), step.now()))
                .collect(Collectors.groupingBy(
                        sample -> coordinatorOf(sample.account().id()),
                        Collectors.mapping(Sample::usage, Collectors.toList())));
        due.forEach((to, usages) -> {
            usages.forEach(usage -> recordReport(heldShares.get(usage.account()), to, step.now()));
            AccountUsage message = new AccountUsage(usages);
            if (to.equals(state.self().id())) {
                onUsage(to, message, step);
            } else {
                step.send(to, message);
            }
        });
    }

    private boolean isReportDue(AccountId account, long now) {
        HeldShare heldShare = heldShares.computeIfAbsent(account, id -> {
            HeldShare first = new HeldShare();
            first.nextReportMillis = now + random.nextLong(FIRST_REPORT_SPREAD_PER_ROUTER_MS * limiters.routerCount());
            return first;
        });
        return now >= heldShare.nextReportMillis;
    }

    private void recordReport(HeldShare heldShare, InstanceId to, long now) {
        long interval = Math.max(MIN_REPORT_INTERVAL_MS, REPORT_INTERVAL_PER_ROUTER_MS * limiters.routerCount());
        heldShare.coordinator = to;
        heldShare.lastReportMillis = now;
        heldShare.nextReportMillis = now + Math.max(interval, heldShare.ttlMillis / 3);
    }

    private void onUsage(InstanceId from, AccountUsage message, ControlStep step) {
        List<Share> shares = message.usages().stream()
                .filter(usage -> state.config().accounts().containsKey(usage.account()))
                .map(usage -> allocator.allocate(
                        from,
                        usage,
                        state.config().accounts().get(usage.account()),
                        limiters.routerCount(),
                        step.now()))
                .toList();
        AccountShares reply = new AccountShares(shares);
        if (from.equals(state.self().id())) {
            onShares(from, reply, step);
        } else if (!shares.isEmpty()) {
            step.send(from, reply);
        }
    }

    private void onShares(InstanceId from, AccountShares message, ControlStep step) {
        message.shares().forEach(share -> acceptShare(from, share, step.now()));
    }

    /** Stores a share; its lifetime counts from this router's last report, so that a late reply has already expired. */
    private void acceptShare(InstanceId from, Share share, long now) {
        HeldShare heldShare = heldShares.get(share.account());
        if (heldShare == null
                || !from.equals(heldShare.coordinator)
                || now >= heldShare.lastReportMillis + share.ttlMillis()) {
            return;
        }
        heldShare.share = new AccountLimit(Math.max(0, share.requestsPerSecond()), Math.max(0, share.concurrent()));
        heldShare.ttlMillis = share.ttlMillis();
        heldShare.validUntilMillis = heldShare.lastReportMillis + share.ttlMillis();
    }

    private void applyLimit(AccountLimiter limiter, long now) {
        AccountSpec account = configuredAccount(limiter);
        AccountLimit even = AccountLimit.evenShare(account, limiters.routerCount());
        HeldShare heldShare = heldShares.get(account.id());
        limiter.limit(heldShare == null || heldShare.share == null ? even : limitAt(heldShare, even, now), now);
    }

    private static AccountLimit limitAt(HeldShare heldShare, AccountLimit even, long now) {
        return now < heldShare.validUntilMillis
                ? heldShare.share
                : heldShare.share.interpolate(
                        even, Math.min(1, (double) (now - heldShare.validUntilMillis) / SHARE_DECAY_MS));
    }

    private void expireIfCoordinatorChanged(AccountId account, HeldShare heldShare, long now) {
        if (now < heldShare.validUntilMillis && !heldShare.coordinator.equals(coordinatorOf(account))) {
            heldShare.validUntilMillis = now;
            heldShare.ttlMillis = 0;
            heldShare.nextReportMillis = now;
        }
    }

    private AccountSpec configuredAccount(AccountLimiter limiter) {
        AccountSpec used = limiter.account();
        return state.config().accounts().getOrDefault(used.id(), used);
    }

    private InstanceId coordinatorOf(AccountId account) {
        long key = Rendezvous.hash(account.value());
        Stream<InstanceId> peers =
                state.peers().filter(peer -> !peer.listed().leaving()).map(PeerRecord::id);
        return Stream.concat(Stream.of(state.self().id()), peers)
                .max(Comparator.<InstanceId>comparingDouble(id -> Rendezvous.score(key, Rendezvous.hash(id.value()), 1))
                        .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }
}
