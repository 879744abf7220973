package org.cuminspur.reachability;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.traffic.UpstreamEntry;
import org.cuminspur.traffic.UpstreamHealth;

/** One start of an instance, which sends requests over connections that it keeps; not thread-safe. */
final class SimulatedInstance {
    private static final int MAX_ATTEMPTS = 3;
    private static final long CONNECT_TIMEOUT_MS = 400;
    private static final long SILENCE_MS = 1_000;
    private static final long SWEEP_MS = 250;
    private static final int MIN_RESPONSE_MS = 30;
    private static final int RESPONSE_SPREAD_MS = 500;

    /** A request at an upstream, over a connection that is kept after it. */
    private record Exchange(
            SimulatedRequest request, UpstreamEntry upstream, long sentMillis, int hops, Consumer<Boolean> done) {}

    final InstanceId id;
    final FailureDomainId domain;
    private final CutSimulation world;
    private final List<Exchange> inProgress = new ArrayList<>();
    private final Map<UpstreamId, Integer> idle = new HashMap<>();
    private final Map<UpstreamId, UpstreamHealth> health = new HashMap<>();
    private final Map<ServiceId, Long> receivedMillis = new HashMap<>();
    private PathPolicy policy;
    private boolean running = true;
    private int relayed;

    SimulatedInstance(InstanceId id, FailureDomainId domain, CutSimulation world) {
        this.id = id;
        this.domain = domain;
        this.world = world;
    }

    void begin(PathPolicy newPolicy) {
        policy = newPolicy;
        policy.update(world.view());
        schedule(SWEEP_MS, this::sweep);
    }

    PathPolicy policy() {
        return policy;
    }

    boolean isRunning() {
        return running;
    }

    /** Runs an action after a delay, unless the instance has ended by then. */
    void schedule(long delayMillis, Runnable action) {
        world.time().schedule(delayMillis, () -> {
            if (running) {
                action.run();
            }
        });
    }

    /** Ends the process: callers and instances that wait for it get no answer. */
    void stop() {
        running = false;
        List.copyOf(inProgress).forEach(exchange -> exchange.done().accept(false));
    }

    /** Takes a caller's request. */
    void take(SimulatedRequest request) {
        schedule(request.deadlineMillis - now(), () -> request.settle(false));
        send(request, 0, request::settle);
    }

    /** Opens a connection, which is kept. */
    void connect(UpstreamEntry upstream, Consumer<Boolean> result) {
        long startedMillis = now();
        Optional<Cut.Manner> cut = world.cutOf(id, upstream.service());
        boolean hangs = cut.filter(manner -> manner == Cut.Manner.HANG || manner == Cut.Manner.RESET)
                .isPresent();
        boolean made = cut.isEmpty() && !world.isDown(upstream);
        schedule(hangs ? CONNECT_TIMEOUT_MS : 1, () -> {
            if (made) {
                policy.connected(upstream);
            } else {
                policy.connectFailed(upstream, startedMillis);
            }
            result.accept(made);
        });
    }

    /** Returns a connection that is not used. */
    void release(UpstreamEntry upstream) {
        idle.merge(upstream.id(), 1, Integer::sum);
    }

    void cutBegan(Cut cut) {
        if (cut.manner() == Cut.Manner.RESET || cut.manner() == Cut.Manner.REFUSE) {
            world.view().upstreams().values().stream()
                    .filter(upstream -> cut.services().contains(upstream.service()))
                    .forEach(upstream -> upstreamEnded(upstream.id()));
        }
    }

    /** Ends the attempts in progress that may be repeated. */
    void repeatWaiting(ServiceId service) {
        List<Exchange> waiting = inProgress.stream()
                .filter(exchange -> exchange.upstream().service().equals(service) && exchange.request().repeatable)
                .toList();
        inProgress.removeAll(waiting);
        waiting.forEach(exchange -> mayHaveRun(exchange.request(), exchange.hops(), exchange.done()));
    }

    /** Ends all connections to an upstream. */
    void upstreamEnded(UpstreamId upstream) {
        idle.remove(upstream);
        List<Exchange> broken = inProgress.stream()
                .filter(exchange -> exchange.upstream().id().equals(upstream))
                .toList();
        inProgress.removeAll(broken);
        broken.forEach(exchange -> mayHaveRun(exchange.request(), exchange.hops(), exchange.done()));
    }

    /**
     * Sends a request on.
     *
     * @param hops instances that it came through
     */
    private void send(SimulatedRequest request, int hops, Consumer<Boolean> done) {
        if (request.isSettled() || now() >= request.deadlineMillis) {
            done.accept(false);
        } else if (policy.usesOwnPath(request.service)) {
            sendToUpstream(request, hops, done);
        } else if (hops > 0 && !policy.passesOn()) {
            done.accept(false);
        } else {
            policy.relay(request.service, request.relays)
                    .ifPresentOrElse(relay -> sendThrough(relay, request, hops + 1, done), () -> done.accept(false));
        }
    }

    private void sendThrough(InstanceId relay, SimulatedRequest request, int hops, Consumer<Boolean> done) {
        request.relays.add(relay);
        request.hops = Math.max(request.hops, hops);
        world.checker().relayed(world.cutOf(relay, request.service).isPresent(), now());
        if (!world.isRunning(relay)) {
            policy.relayFailed(request.service, relay);
            repeatUnsent(request, hops - 1, done);
            return;
        }
        int runsBefore = request.runs;
        world.call(
                relay,
                other -> other.takeRelayed(
                        request,
                        hops,
                        served -> world.call(id, self -> {
                            if (served) {
                                done.accept(true);
                                return;
                            }
                            self.policy.relayFailed(request.service, relay);
                            if (request.runs > runsBefore) {
                                self.mayHaveRun(request, hops - 1, done);
                            } else {
                                self.repeatUnsent(request, hops - 1, done);
                            }
                        })));
    }

    private void takeRelayed(SimulatedRequest request, int hops, Consumer<Boolean> done) {
        relayed++;
        world.checker().relayedInProgress(relayed);
        send(request, hops, served -> {
            relayed--;
            done.accept(served);
        });
    }

    private void sendToUpstream(SimulatedRequest request, int hops, Consumer<Boolean> done) {
        Optional<UpstreamEntry> chosen = choose(request);
        if (chosen.isEmpty()) {
            done.accept(false);
            return;
        }
        UpstreamEntry upstream = chosen.get();
        request.tried.add(upstream.id());
        if (idle.getOrDefault(upstream.id(), 0) > 0) {
            idle.merge(upstream.id(), -1, Integer::sum);
            exchange(new Exchange(request, upstream, now(), hops, done));
            return;
        }
        connect(upstream, made -> {
            if (made) {
                exchange(new Exchange(request, upstream, now(), hops, done));
            } else {
                health(upstream).recordUnreachable(now());
                repeatUnsent(request, hops, done);
            }
        });
    }

    private void exchange(Exchange exchange) {
        inProgress.add(exchange);
        Optional<Cut.Manner> cut = world.cutOf(id, exchange.upstream().service());
        if (cut.filter(manner -> manner != Cut.Manner.LIVE_ON).isPresent()) {
            // The bytes are lost with the connection, so the request does not run.
            return;
        }
        exchange.request().runs++;
        schedule(MIN_RESPONSE_MS + world.random().nextInt(RESPONSE_SPREAD_MS), () -> answered(exchange));
    }

    private void answered(Exchange exchange) {
        Optional<Cut.Manner> cut = world.cutOf(id, exchange.upstream().service());
        if (cut.filter(manner -> manner != Cut.Manner.LIVE_ON).isPresent() || !inProgress.remove(exchange)) {
            return;
        }
        receivedMillis.put(exchange.upstream().service(), now());
        policy.received(exchange.upstream());
        health(exchange.upstream()).recordSuccess();
        release(exchange.upstream());
        exchange.done().accept(true);
    }

    private void repeatUnsent(SimulatedRequest request, int hops, Consumer<Boolean> done) {
        if (++request.attempts < MAX_ATTEMPTS) {
            send(request, hops, done);
        } else {
            done.accept(false);
        }
    }

    private void mayHaveRun(SimulatedRequest request, int hops, Consumer<Boolean> done) {
        if ((request.repeatable || policy.repeatsWhatMayHaveRun()) && running) {
            repeatUnsent(request, hops, done);
        } else {
            done.accept(false);
        }
    }

    private Optional<UpstreamEntry> choose(SimulatedRequest request) {
        List<UpstreamEntry> untried = world.view().upstreams().values().stream()
                .filter(upstream -> upstream.service().equals(request.service))
                .filter(upstream -> !request.tried.contains(upstream.id()))
                .sorted((a, b) -> a.id().compareTo(b.id()))
                .toList();
        List<UpstreamEntry> healthy = untried.stream()
                .filter(upstream -> health(upstream).admitsRequest(now()))
                .toList();
        List<UpstreamEntry> candidates = healthy.isEmpty() ? untried : healthy;
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(world.random().nextInt(candidates.size())));
    }

    private void sweep() {
        inProgress.removeIf(exchange -> exchange.request().isSettled() && now() >= exchange.request().deadlineMillis);
        Stream.of(CutSimulation.BUSY, CutSimulation.RARE).forEach(service -> {
            boolean waits = inProgress.stream()
                    .anyMatch(exchange -> exchange.upstream().service().equals(service)
                            && now() - exchange.sentMillis() >= SILENCE_MS);
            if (waits && now() - receivedMillis.getOrDefault(service, 0L) >= SILENCE_MS) {
                policy.silent(service);
            }
        });
        schedule(SWEEP_MS, this::sweep);
    }

    private UpstreamHealth health(UpstreamEntry upstream) {
        return health.computeIfAbsent(upstream.id(), unknown -> new UpstreamHealth());
    }

    private long now() {
        return world.time().nowMillis();
    }
}
