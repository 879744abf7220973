package org.cuminspur.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.PromptPartId;
import org.cuminspur.testing.VirtualTime;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamState;

/**
 * Simulates requests that crash upstreams, by a part of their prompts or as repeats of one, among many sound ones.
 *
 * <p>Not thread-safe. Sound requests share all other parts with the crashing ones. Upstreams also crash for no such
 * cause, connections break although their upstream goes on, instances are killed, and their views and messages are late.
 * Each caller tries once more after a failure.
 */
final class CrashSimulation implements QuarantinePolicy.World {
    /** Sound requests that come again and again, and their share. */
    private static final int POLLS = 5;

    private static final double POLL_SHARE = 0.3;

    private static final long START_MS = 1_000_000;
    private static final double RARE_SHARE = 0.02;
    private static final int REQUESTS_PER_RARE_PART = 4;

    /** Share of sound requests with the part that crashes upstreams later. */
    private static final double TURNING_SHARE = 0.1;

    private static final int MAX_VIEW_DELAY_MS = 1_000;
    private static final int MAX_LINK_DELAY_MS = 3;
    private static final int MAX_MESSAGE_DELAY_MS = 20;
    private static final int MIN_FIRST_EVENT_MS = 40;
    private static final int FIRST_EVENT_SPREAD_MS = 160;
    private static final int MIN_REST_MS = 100;
    private static final int REST_SPREAD_MS = 2_000;
    private static final long RETRY_MS = 300;

    /** Time in which a crash is proved, and instances object or agree. */
    private static final long SETTLED_MS = 500;

    private static final long INSTANCE_DOWN_MS = 1_000;
    private static final long FLAP_MS = 1_500;
    private static final double SECOND_MS = 1_000;

    private final CrashFleet fleet;
    private final Random random;
    private final VirtualTime time = new VirtualTime(START_MS);
    private final BiFunction<SimulatedInstance, QuarantinePolicy.World, CrashPolicy> policy;
    private final Map<InstanceId, SimulatedInstance> instances = new HashMap<>();
    private final List<InstanceId> ids;
    private final SimulatedUpstreams upstreams;
    private final CrashChecker checker;
    private boolean crashingCome;
    private int rareParts;
    private int created;
    private long messages;
    private long probes;
    private long requests;

    CrashSimulation(
            CrashFleet fleet, BiFunction<SimulatedInstance, QuarantinePolicy.World, CrashPolicy> policy, long seed) {
        this.fleet = fleet;
        this.policy = policy;
        this.random = new Random(seed);
        checker = new CrashChecker(
                fleet.culprit() == CrashFleet.Culprit.PART ? CrashChecker.PART_CRASHES : CrashChecker.REQUEST_CRASHES,
                fleet.contactMillis());
        upstreams = new SimulatedUpstreams(time, this::tellInstances);
        ids = IntStream.range(0, fleet.instances())
                .mapToObj(i -> new InstanceId("instance-" + i))
                .sorted()
                .toList();
        IntStream.range(0, fleet.upstreams()).forEach(upstreams::start);
        ids.forEach(this::startInstance);
        repeat(fleet.requestsPerSecond(), this::sendSound);
        repeat(
                fleet.ordinaryCrashesPerSecond(),
                () -> upstreams.anyRunning(random).ifPresent(this::crash));
        IntStream.range(0, fleet.flappingUpstreams())
                .forEach(address -> repeat(
                        SECOND_MS / FLAP_MS, () -> upstreams.runningAt(address).ifPresent(this::crash)));
    }

    CrashChecker checker() {
        return checker;
    }

    void advance(long millis) {
        time.advance(millis);
    }

    /** Begins or ends the requests with the part that crashes upstreams. */
    void setCrashing(boolean come) {
        if (come && !crashingCome) {
            crashingCome = true;
            sendCrashing();
        }
        crashingCome = come;
    }

    /** Ends two upstreams while a request with the same sound part waits there for its answer. */
    void crashUpstreamsOfSoundPart() {
        for (int i = 0; i < 2; i++) {
            SimulatedAttempt attempt =
                    attempt(List.of(SimulatedPrompts.firstPart(0), SimulatedPrompts.SOUND), false, begun -> {});
            call(attempt);
            time.advance(MAX_LINK_DELAY_MS + MIN_FIRST_EVENT_MS / 2);
            crash(upstreams.find(attempt.upstream.id()));
            time.advance(SETTLED_MS);
        }
    }

    /** Kills an instance, which starts again without any memory. */
    void killInstance() {
        InstanceId id = ids.get(random.nextInt(ids.size()));
        SimulatedInstance killed = instances.get(id);
        if (killed.running) {
            killed.running = false;
            killed.inProgress.forEach(attempt -> {
                upstreams.find(attempt.upstream.id()).inProgress.remove(attempt);
                attempt.settle(false);
            });
            time.schedule(INSTANCE_DOWN_MS, () -> startInstance(id));
        }
    }

    /** Returns the number of instances at which a sound part is blocked. */
    long blockingSoundParts() {
        return instances.values().stream()
                .filter(instance -> SimulatedPrompts.soundParts(rareParts).anyMatch(instance.policy::blocks))
                .count();
    }

    /** Returns the number of instances at which a poll is blocked. */
    long blockingPolls() {
        return instances.values().stream()
                .filter(instance -> IntStream.range(0, POLLS)
                        .mapToObj(number -> TestSuspects.identity(SimulatedPrompts.poll(number)))
                        .anyMatch(instance.policy::blocks))
                .count();
    }

    @Override
    public Clock clock() {
        return time.clock();
    }

    /** Sends sound requests with the parts that are still blocked somewhere, for a while. */
    void sendBlockedSoundParts(long millis) {
        for (long passed = 0; passed < millis && blockingSoundParts() > 0; passed += RETRY_MS) {
            SimulatedPrompts.soundParts(rareParts)
                    .filter(part -> instances.values().stream().anyMatch(instance -> instance.policy.blocks(part)))
                    .forEach(part -> call(attempt(List.of(SimulatedPrompts.firstPart(0), part), false, begun -> {})));
            time.advance(RETRY_MS);
        }
    }

    /** Goes on, as polls come, until none is blocked, for a while at most. */
    void sendPollsUntilReleased(long millis) {
        for (long passed = 0; passed < millis && blockingPolls() > 0; passed += RETRY_MS) {
            time.advance(RETRY_MS);
        }
    }

    /** Delivers a message between instances, late, twice or not at all. */
    @Override
    public void deliver(SimulatedInstance from, InstanceId to, QuarantineMessage message) {
        messages++;
        if (random.nextDouble() < fleet.messageLoss()) {
            return;
        }
        int copies = random.nextDouble() < fleet.messageLoss() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            time.schedule(1 + random.nextInt(MAX_MESSAGE_DELAY_MS), () -> {
                SimulatedInstance receiver = instances.get(to);
                if (receiver.running && receiver.policy instanceof QuarantinePolicy policy) {
                    policy.quarantine.receive(from.id, message);
                }
            });
        }
    }

    @Override
    public void deliverToAll(SimulatedInstance from, QuarantineMessage message) {
        ids.stream().filter(id -> !id.equals(from.id)).forEach(id -> deliver(from, id, message));
    }

    /** Tells an instance after a round trip whether a process listens at an upstream's address. */
    @Override
    public void probe(SimulatedInstance from, UpstreamState upstream, Consumer<CrashInquiry.Probe> result) {
        probes++;
        from.schedule(
                2L * linkDelay(),
                () -> result.accept(
                        upstreams.isListening(upstream.entry().host())
                                ? CrashInquiry.Probe.LISTENING
                                : CrashInquiry.Probe.REFUSED));
    }

    /** Removes requests that an instance has cancelled from their upstreams. */
    @Override
    public void withdraw(List<SimulatedAttempt> cancelled) {
        cancelled.forEach(
                attempt -> upstreams.find(attempt.upstream.id()).inProgress.remove(attempt));
    }

    /** Returns the messages between instances for each request of a caller. */
    double messagesPerRequest() {
        return (double) messages / requests;
    }

    /** Returns the connections opened only to see whether an upstream listens, for each request of a caller. */
    double probesPerRequest() {
        return (double) probes / requests;
    }

    private void startInstance(InstanceId id) {
        SimulatedInstance instance =
                new SimulatedInstance(id, time, random, this::reach, started -> policy.apply(started, this));
        instances.put(id, instance);
        instance.apply(upstreams.view(ids));
    }

    private void tellInstances() {
        FleetView view = upstreams.view(ids);
        instances
                .values()
                .forEach(instance -> time.schedule(1 + random.nextInt(MAX_VIEW_DELAY_MS), () -> instance.apply(view)));
    }

    private void sendSound() {
        if (fleet.culprit() != CrashFleet.Culprit.PART && random.nextDouble() < POLL_SHARE) {
            sendPoll(random.nextInt(POLLS));
            return;
        }
        boolean rare = random.nextDouble() < RARE_SHARE;
        PromptPartId first = SimulatedPrompts.firstPart(random.nextInt(SimulatedPrompts.FIRST_PARTS));
        // Squared, so that some parts are seen seldom.
        PromptPartId second = rare
                ? SimulatedPrompts.rarePart(rareParts++ / REQUESTS_PER_RARE_PART)
                : SimulatedPrompts.secondPart((int) (SimulatedPrompts.SECOND_PARTS * square()));
        boolean turning = fleet.soundBefore() && checker.crashes() == 0 && !crashingCome;
        if (turning && random.nextDouble() < TURNING_SHARE) {
            second = SimulatedPrompts.CRASHING;
        }
        sendSound(first, second);
    }

    private void sendSound(PromptPartId first, PromptPartId second) {
        boolean judged = first.equals(SimulatedPrompts.firstPart(0));
        long sentMillis = time.nowMillis();
        boolean meanwhile = crashingCome;
        call(attempt(List.of(first, second), false, begun -> {
            if (judged) {
                checker.record(sentMillis, meanwhile, begun);
            }
            if (!begun) {
                time.schedule(RETRY_MS, () -> call(attempt(List.of(first, second), false, again -> {})));
            }
        }));
    }

    /** Sends a request without parts that comes again and again, and is sound. */
    private void sendPoll(int number) {
        long sentMillis = time.nowMillis();
        boolean meanwhile = crashingCome;
        call(new SimulatedAttempt(
                SimulatedPrompts.poll(number),
                List.of(),
                false,
                begun -> checker.record(sentMillis, meanwhile, begun)));
    }

    private double square() {
        double drawn = random.nextDouble();
        return drawn * drawn;
    }

    private void sendCrashing() {
        if (!crashingCome) {
            return;
        }
        if (fleet.culprit() == CrashFleet.Culprit.PART) {
            sendCrashingPart();
        } else {
            sendCrashingRequest();
        }
        time.schedule(nextGap(fleet.crashingPerSecond()), this::sendCrashing);
    }

    private void sendCrashingRequest() {
        List<PromptPartId> parts = fleet.culprit() == CrashFleet.Culprit.PLAIN_REQUEST
                ? List.of()
                : List.of(SimulatedPrompts.firstPart(0), SimulatedPrompts.secondPart(0));
        call(new SimulatedAttempt(
                SimulatedPrompts.CRASHING_REQUEST,
                parts,
                true,
                begun -> time.schedule(
                        RETRY_MS,
                        () -> call(
                                new SimulatedAttempt(SimulatedPrompts.CRASHING_REQUEST, parts, true, again -> {})))));
    }

    private void sendCrashingPart() {
        PromptPartId second = SimulatedPrompts.secondPart(random.nextInt(SimulatedPrompts.SECOND_PARTS));
        List<PromptPartId> parts = random.nextBoolean()
                ? List.of(SimulatedPrompts.firstPart(0), SimulatedPrompts.CRASHING, second)
                : List.of(SimulatedPrompts.firstPart(0), second, SimulatedPrompts.CRASHING);
        call(attempt(
                parts,
                true,
                begun -> time.schedule(RETRY_MS, () -> {
                    if (!begun) {
                        call(attempt(parts, true, again -> {}));
                    }
                })));
    }

    /** Returns an attempt of a request like no other. */
    private SimulatedAttempt attempt(List<PromptPartId> parts, boolean crashing, Consumer<Boolean> onFirstEvent) {
        return new SimulatedAttempt("request-" + ++created, parts, crashing, onFirstEvent);
    }

    private void call(SimulatedAttempt attempt) {
        requests++;
        List<InstanceId> running =
                ids.stream().filter(id -> instances.get(id).running).toList();
        SimulatedInstance instance = instances.get(running.get(random.nextInt(running.size())));
        instance.schedule(linkDelay(), () -> instance.take(attempt));
    }

    private boolean reach(SimulatedAttempt attempt) {
        SimulatedUpstreams.Upstream upstream = upstreams.find(attempt.upstream.id());
        if (!upstream.running) {
            return false;
        }
        if (attempt.crashing) {
            checker.recordSend(time.nowMillis(), attempt.instance.inTouch(fleet.contactMillis()));
        }
        upstream.inProgress.add(attempt);
        boolean breaks = !attempt.crashing && random.nextDouble() < fleet.brokenShare();
        time.schedule(
                MIN_FIRST_EVENT_MS + random.nextInt(FIRST_EVENT_SPREAD_MS), () -> begin(upstream, attempt, breaks));
        return true;
    }

    private void begin(SimulatedUpstreams.Upstream upstream, SimulatedAttempt attempt, boolean breaks) {
        if (!upstream.inProgress.contains(attempt)) {
            return;
        }
        if (attempt.crashing) {
            checker.recordCrash(time.nowMillis());
            crash(upstream);
        } else if (breaks) {
            upstream.inProgress.remove(attempt);
            attempt.instance.broken(attempt);
        } else {
            attempt.instance.responded(attempt);
            time.schedule(MIN_REST_MS + random.nextInt(REST_SPREAD_MS), () -> complete(upstream, attempt));
        }
    }

    private static void complete(SimulatedUpstreams.Upstream upstream, SimulatedAttempt attempt) {
        if (upstream.inProgress.remove(attempt) && attempt.instance.running) {
            attempt.instance.completed(attempt);
        }
    }

    private void crash(SimulatedUpstreams.Upstream upstream) {
        List<SimulatedAttempt> broken = new ArrayList<>(upstreams.crash(upstream));
        broken.forEach(attempt -> time.schedule(linkDelay(), () -> attempt.instance.broken(attempt)));
    }

    private void repeat(double perSecond, Runnable action) {
        if (perSecond > 0) {
            time.schedule(nextGap(perSecond), () -> {
                action.run();
                repeat(perSecond, action);
            });
        }
    }

    private long nextGap(double perSecond) {
        return Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * SECOND_MS / perSecond));
    }

    private int linkDelay() {
        return 1 + random.nextInt(MAX_LINK_DELAY_MS);
    }
}
