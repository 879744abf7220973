package org.cuminspur.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.internal.hash.Rendezvous;
import org.cuminspur.pace.PaceWindow;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;
import org.cuminspur.traffic.ArbiterDirectory;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamProcessId;
import org.cuminspur.traffic.UpstreamState;

/**
 * Balances the requests of all instances over the upstreams of a service, and lets them wait while there is no room.
 *
 * <p>Not thread-safe; confined to the traffic thread. One instance assigns all requests of a service, by rendezvous order. It
 * hears what the upstreams say in each response to any instance, so what it knows is some milliseconds old where each instance
 * by itself hears of an upstream every few seconds. The instance that holds a request asks again while it waits, so a queue
 * that is lost with its instance is built again elsewhere. If nobody answers, the request is placed by what is known here,
 * and after some timeouts the next instance is asked for a while. Only services whose upstreams say how fast they are at the
 * moment are balanced so.
 */
public final class FleetBalancer {
    /** Longest wait for an answer: a round trip between failure domains, and the pauses of a small machine. */
    static final long REPLY_TIMEOUT_MS = 40;

    /** Interval at which a request that waits is asked for again. */
    static final long REFRESH_INTERVAL_MS = 100;

    /** Queries of one request that time out before it is placed by what is known here. */
    private static final int MAX_UNANSWERED_QUERIES = 2;

    /** Consecutive timeouts after which an instance is skipped; single messages may be lost. */
    static final int MAX_TIMEOUTS = 3;

    /** Time in which an instance that does not answer is skipped. */
    static final long SKIP_MS = 2_000;

    /**
     * Time without a word on its speed after which a service is no longer balanced by it. Longer than an idle service is without
     * requests, since the crowd that ends the silence is what has to be balanced.
     */
    private static final long STATED_MS = 600_000;

    /** Upstreams up to which a service is balanced by one instance; with more, each instance's requests spread by themselves. */
    private static final int MAX_UPSTREAMS = BalanceCodec.MAX_CANDIDATES;

    /** A request whose upstream is not known yet. */
    private static final class Pending {
        private final ServiceId service;
        private final RequestTerms terms;
        private final Supplier<List<UpstreamState>> candidates;
        private final Consumer<BalanceDecision> result;
        private final long sinceMillis;
        private InstanceId arbiter;
        private boolean answered;
        private int unansweredQueries;

        Pending(
                ServiceId service,
                RequestTerms terms,
                Supplier<List<UpstreamState>> candidates,
                Consumer<BalanceDecision> result,
                long sinceMillis) {
            this.service = service;
            this.terms = terms;
            this.candidates = candidates;
            this.result = result;
            this.sinceMillis = sinceMillis;
        }
    }

    /** Consecutive timeouts of one instance. */
    private static final class Timeouts {
        private int count;
        private long skippedUntilMillis = Long.MIN_VALUE;
    }

    private final InstanceId self;
    private final FailureDomainId domain;
    private final Clock clock;
    private final Timer timer;
    private final BiConsumer<InstanceId, BalanceMessage> sender;
    private final ArbiterDirectory arbiters;
    private final RequestAssigner assigner;
    private final Map<ServiceId, Long> statedMillis = new HashMap<>();
    private final Map<Integer, Pending> pending = new HashMap<>();
    private final Map<InstanceId, Timeouts> timeouts = new HashMap<>();
    private int queries;

    /**
     * Creates a balancer that knows nothing.
     *
     * @param random uniform from 0 to 1
     * @param sender sends a message to an instance, perhaps in vain
     * @param events receives which upstreams are paced
     */
    public FleetBalancer(
            InstanceId self,
            FailureDomainId domain,
            Clock clock,
            Timer timer,
            DoubleSupplier random,
            BiConsumer<InstanceId, BalanceMessage> sender,
            EventSink events) {
        this(self, domain, clock, timer, new LoadTable(random, PaceWindow::new), sender, events);
    }

    /** Creates a balancer that decides by a table. */
    FleetBalancer(
            InstanceId self,
            FailureDomainId domain,
            Clock clock,
            Timer timer,
            LoadTable table,
            BiConsumer<InstanceId, BalanceMessage> sender,
            EventSink events) {
        this.self = self;
        this.domain = domain;
        this.clock = clock;
        this.timer = timer;
        this.sender = sender;
        arbiters = new ArbiterDirectory(self);
        assigner = new RequestAssigner(table, clock, timer, this::answer, events);
    }

    /** Applies a newer view of the fleet. */
    public void update(FleetView view) {
        arbiters.update(view);
        timeouts.keySet().retainAll(view.peers().keySet());
        assigner.update(view);
        statedMillis
                .keySet()
                .removeIf(service -> view.upstreams().values().stream()
                        .noneMatch(entry -> entry.service().equals(service)));
    }

    /** Records what an upstream said of itself in a response, and passes it on. */
    public void report(UpstreamState upstream, UpstreamReport report) {
        ServiceId service = upstream.entry().service();
        if (report.speedPercent().isPresent()) {
            statedMillis.put(service, clock.millis());
        } else if (!isStated(service)) {
            return;
        }
        UpstreamProcessId process = UpstreamProcessId.of(upstream.entry());
        assigner.report(process, report);
        InstanceId arbiter = arbiter(service);
        if (!arbiter.equals(self)) {
            sender.accept(arbiter, new BalanceMessage.Report(process, report));
        }
    }

    /** Records that a request to an upstream broke before its response, or could not be sent. */
    public void recordFailure(UpstreamState upstream) {
        notifyArbiter(upstream, BalanceMessage.Failed::new);
    }

    /** Records that an upstream ran a request and answered with an error. */
    public void recordError(UpstreamState upstream) {
        notifyArbiter(upstream, BalanceMessage.Erred::new);
    }

    private void notifyArbiter(UpstreamState upstream, Function<UpstreamProcessId, BalanceMessage> message) {
        ServiceId service = upstream.entry().service();
        if (!isStated(service)) {
            return;
        }
        InstanceId arbiter = arbiter(service);
        BalanceMessage notice = message.apply(UpstreamProcessId.of(upstream.entry()));
        if (arbiter.equals(self)) {
            receive(self, notice);
        } else {
            sender.accept(arbiter, notice);
        }
    }

    /** Returns the upstreams that get less than they have slots for, since they have just started or recovered. */
    public int paced() {
        return assigner.paced();
    }

    private boolean isStated(ServiceId service) {
        Long stated = statedMillis.get(service);
        return stated != null && clock.millis() - stated < STATED_MS;
    }

    /** Returns whether requests to some upstreams of a service are balanced over the fleet. */
    public boolean balances(ServiceId service, List<UpstreamState> candidates) {
        return !candidates.isEmpty() && candidates.size() <= MAX_UPSTREAMS && isStated(service);
    }

    /** Returns who assigns a request to some upstreams of a service, empty if it is not balanced; nothing is assigned. */
    public Optional<BalanceExplanation> explain(ServiceId service, List<UpstreamState> upstreams) {
        if (!balances(service, upstreams)) {
            return Optional.empty();
        }
        InstanceId arbiter = arbiter(service);
        return Optional.of(
                arbiter.equals(self)
                        ? assigner.explain(self, candidates(upstreams))
                        : new BalanceExplanation(arbiter, 0, Optional.empty(), List.of()));
    }

    /** Returns the requests of all instances that wait here for room. */
    public int waiting() {
        return assigner.waiting();
    }

    /**
     * Chooses the upstream of a request.
     *
     * @param candidates returns the upstreams of the service that may take it at the moment, also those that are ejected here
     * @param result receives the decision at once, soon or when there is room
     */
    public void choose(
            ServiceId service,
            RequestTerms terms,
            Supplier<List<UpstreamState>> candidates,
            Consumer<BalanceDecision> result) {
        int number = queries++;
        pending.put(number, new Pending(service, terms, candidates, result, clock.millis()));
        ask(number);
    }

    private void ask(int number) {
        Pending request = pending.get(number);
        List<UpstreamState> upstreams = request.candidates.get();
        if (!balances(request.service, upstreams)) {
            decide(number, new BalanceDecision.Undecided());
            return;
        }
        InstanceId arbiter = arbiter(request.service);
        request.arbiter = arbiter;
        request.answered = false;
        BalanceMessage.Query query = new BalanceMessage.Query(
                number,
                Rendezvous.hash(request.service.value()),
                request.terms.after(clock.millis() - request.sinceMillis),
                candidates(upstreams));
        if (arbiter.equals(self)) {
            receive(self, query);
        } else {
            sender.accept(arbiter, query);
            timer.schedule(REPLY_TIMEOUT_MS, () -> timedOut(number, request, arbiter));
        }
    }

    private List<Candidate> candidates(List<UpstreamState> upstreams) {
        return upstreams.stream()
                .map(upstream -> new Candidate(
                        UpstreamProcessId.of(upstream.entry()),
                        upstream.entry().domain().equals(domain),
                        !upstream.health().admitsRequest(clock.millis())))
                .toList();
    }

    private void timedOut(int number, Pending request, InstanceId arbiter) {
        if (pending.get(number) != request || request.answered || !request.arbiter.equals(arbiter)) {
            return;
        }
        recordTimeout(arbiter);
        request.unansweredQueries++;
        if (request.unansweredQueries < MAX_UNANSWERED_QUERIES) {
            // The same instance again, unless it is skipped by now: one message may be lost.
            ask(number);
        } else {
            List<UpstreamState> upstreams = request.candidates.get();
            decide(number, decision(upstreams, assigner.assign(candidates(upstreams))));
        }
    }

    private void decide(int number, BalanceDecision decision) {
        Pending request = pending.remove(number);
        if (request != null) {
            request.result.accept(decision);
        }
    }

    private static BalanceDecision decision(List<UpstreamState> upstreams, Optional<UpstreamProcessId> process) {
        return process.flatMap(wanted -> upstreams.stream()
                        .filter(upstream ->
                                UpstreamProcessId.of(upstream.entry()).equals(wanted))
                        .findFirst())
                .<BalanceDecision>map(BalanceDecision.Assigned::new)
                .orElseGet(BalanceDecision.Undecided::new);
    }

    private InstanceId arbiter(ServiceId service) {
        return arbiters.arbiterOf(Rendezvous.hash(service.value()), this::answers);
    }

    private boolean answers(InstanceId id) {
        Timeouts known = timeouts.get(id);
        return known == null || known.skippedUntilMillis <= clock.millis();
    }

    private void recordTimeout(InstanceId arbiter) {
        Timeouts known = timeouts.computeIfAbsent(arbiter, absent -> new Timeouts());
        known.count++;
        if (known.count >= MAX_TIMEOUTS) {
            known.count = 0;
            known.skippedUntilMillis = clock.millis() + SKIP_MS;
        }
    }

    /** Handles a message of another instance. */
    public void receive(InstanceId from, BalanceMessage message) {
        if (message instanceof BalanceMessage.Report report) {
            assigner.report(report.upstream(), report.report());
        } else if (message instanceof BalanceMessage.Failed failed) {
            assigner.recordFailure(failed.upstream());
        } else if (message instanceof BalanceMessage.Erred erred) {
            assigner.recordError(erred.upstream());
        } else if (message instanceof BalanceMessage.Query query) {
            assigner.query(from, query);
        } else if (message instanceof BalanceMessage.Reply reply) {
            answered(
                    from,
                    reply.number(),
                    request ->
                            decide(reply.number(), decision(request.candidates.get(), Optional.of(reply.upstream()))));
        } else if (message instanceof BalanceMessage.Queued queued) {
            answered(
                    from,
                    queued.number(),
                    request -> timer.schedule(REFRESH_INTERVAL_MS, () -> {
                        if (pending.get(queued.number()) == request) {
                            ask(queued.number());
                        }
                    }));
        } else if (message instanceof BalanceMessage.Rejected rejected) {
            answered(
                    from,
                    rejected.number(),
                    request -> decide(rejected.number(), new BalanceDecision.Rejected(rejected.retryAfterMillis())));
        }
    }

    private void answered(InstanceId from, int number, Consumer<Pending> action) {
        Pending request = pending.get(number);
        if (request != null && request.arbiter.equals(from)) {
            request.answered = true;
            timeouts.remove(from);
            action.accept(request);
        }
    }

    private void answer(InstanceId to, BalanceMessage decision) {
        if (to.equals(self)) {
            receive(self, decision);
        } else {
            sender.accept(to, decision);
        }
    }
}
