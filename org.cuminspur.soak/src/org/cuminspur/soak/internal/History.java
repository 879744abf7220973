package org.cuminspur.soak.internal;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

/**
 * What callers, upstreams and the operator saw, and what was done to the fleet; thread-safe.
 *
 * <p>All times are in milliseconds since the start of the soak, on one clock.
 */
final class History {
    /** The kinds of request that callers send. */
    enum Kind {
        /** Must not run twice. */
        BOOK("/book/x", false),
        /** May repeat. */
        LOOK("/look/x", true),
        /** A stream that must not run twice. */
        DRAFT("/draft/x", false),
        /** A stream that may go on at another upstream. */
        CHAT("/chat/x", true);

        private final String path;
        private final boolean repeats;

        Kind(String path, boolean repeats) {
            this.path = path;
            this.repeats = repeats;
        }

        String path() {
            return path;
        }

        boolean repeats() {
            return repeats;
        }

        /** Returns whether it is a stream that a caller may take up again. */
        boolean resumes() {
            return this == CHAT;
        }

        boolean stream() {
            return this == DRAFT || this == CHAT;
        }
    }

    /** How a request ended for its caller. */
    enum End {
        /** A whole answer, of whatever status. */
        WHOLE,
        /** The connection ended or broke before that. */
        CUT,
        /** The caller's patience was over. */
        TIMED_OUT,
        /** No connection could be made, or it was closed before a byte was sent. */
        NOT_SENT
    }

    /** How an upstream says in an answer that it wants no more requests. */
    enum Withdraws {
        LEAVES,
        TURNS_AWAY
    }

    /** What the operator or an upstream said through the store. */
    enum Said {
        KEY_REVOKED,
        UPSTREAM_LEAVES,
        DOMAIN_EMPTIED,
        DOMAIN_RESTORED,
        UPSTREAM_STARTED,
        LIMIT_NAMED,
        LIMIT_ENDED
    }

    /**
     * One request, seen by its caller; immutable.
     *
     * @param start which start of the instance's process took it
     * @param status 0 if there was no head of an answer
     * @param own whether the answer holds all that belongs to it and nothing else; for successes only
     */
    record Call(
            String id,
            Kind kind,
            String instance,
            int start,
            String key,
            long sentMillis,
            long endMillis,
            End end,
            int status,
            boolean own) {}

    /**
     * One run of a request, seen by an upstream; immutable.
     *
     * @param leftMillis how long the upstream was told that the answer is of use
     * @param broken whether the upstream itself spoiled the answer
     * @param version the upstream's software version
     * @param stream id of the request that brought the first event of the stream; the request's own unless it resumes
     * @param lastEvent number of the event after which it resumes a stream, 0 for a new stream
     */
    record Run(
            String id,
            Kind kind,
            String upstream,
            String domain,
            String account,
            long atMillis,
            long leftMillis,
            boolean broken,
            String version,
            String stream,
            int lastEvent) {}

    /** A caller's request to resume a stream; immutable. */
    record Resumption(String id, String stream, String instance, long atMillis) {}

    /** An upstream of a software version and when it began to serve; immutable. */
    record Serving(String upstream, String version, long fromMillis) {}

    /**
     * The prompt of a caller's request, and what came of it; immutable.
     *
     * @param crashCause what of it crashes upstreams: a part or the request, empty if nothing does
     * @param begun whether the caller got a part of an answer
     */
    record Prompt(String call, String firstPart, String crashCause, boolean begun) {}

    /**
     * An answer in which an upstream said that it wants no more requests; immutable.
     *
     * @param untilMillis the time until which it wants none
     */
    record Withdrawal(Withdraws kind, String upstream, String call, long atMillis, long untilMillis) {}

    /** The end of an upstream as it began to answer a request that crashes upstreams; immutable. */
    record Crash(String cause, String upstream, long atMillis) {}

    /** A change, and when the store had acknowledged it; immutable. */
    record Change(Said said, String subject, long atMillis) {}

    /**
     * A roll-out of the service {@link Operator#APP} that has ended; immutable.
     *
     * @param bad whether every second request at the target fails
     * @param limitMillis the time by which it was to end
     * @param state what operators were told last
     * @param endMillis when they were told so
     */
    record Rollout(String target, boolean bad, long orderMillis, long limitMillis, String state, long endMillis) {}

    /** A fault on an instance, an upstream, the store or a link; {@code target} is empty if it is on all instances. */
    record Fault(String kind, String target, long fromMillis, long toMillis) {
        boolean during(long from, long to) {
            return fromMillis <= to && toMillis >= from;
        }
    }

    private final long began = System.nanoTime();
    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
    private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Queue<Change> changes = new ConcurrentLinkedQueue<>();
    private final Queue<Fault> faults = new ConcurrentLinkedQueue<>();
    private final Queue<Resumption> resumptions = new ConcurrentLinkedQueue<>();
    private final Queue<Serving> servings = new ConcurrentLinkedQueue<>();
    private final Queue<Prompt> prompts = new ConcurrentLinkedQueue<>();
    private final Queue<Crash> crashes = new ConcurrentLinkedQueue<>();
    private final Queue<Rollout> rollouts = new ConcurrentLinkedQueue<>();
    private final Queue<Withdrawal> withdrawals = new ConcurrentLinkedQueue<>();

    /** Returns the present time. */
    long now() {
        return (System.nanoTime() - began) / 1_000_000;
    }

    void add(Call call) {
        calls.add(call);
    }

    void add(Run run) {
        runs.add(run);
    }

    void add(Change change) {
        changes.add(change);
    }

    void add(Fault fault) {
        faults.add(fault);
    }

    void add(Resumption resumption) {
        resumptions.add(resumption);
    }

    void add(Serving serving) {
        servings.add(serving);
    }

    void add(Prompt prompt) {
        prompts.add(prompt);
    }

    void add(Crash crash) {
        crashes.add(crash);
    }

    void add(Withdrawal withdrawal) {
        withdrawals.add(withdrawal);
    }

    void add(Rollout rollout) {
        rollouts.add(rollout);
    }

    List<Rollout> rollouts() {
        return List.copyOf(rollouts);
    }

    List<Withdrawal> withdrawals() {
        return List.copyOf(withdrawals);
    }

    List<Prompt> prompts() {
        return List.copyOf(prompts);
    }

    List<Crash> crashes() {
        return List.copyOf(crashes);
    }

    /** Returns the ids of requests that crash upstreams. */
    Set<String> crashingCalls() {
        return prompts.stream()
                .filter(prompt -> !prompt.crashCause().isEmpty())
                .map(Prompt::call)
                .collect(Collectors.toSet());
    }

    List<Resumption> resumptions() {
        return List.copyOf(resumptions);
    }

    List<Serving> servings() {
        return List.copyOf(servings);
    }

    List<Call> calls() {
        return List.copyOf(calls);
    }

    List<Run> runs() {
        return List.copyOf(runs);
    }

    List<Change> changes() {
        return List.copyOf(changes);
    }

    List<Fault> faults() {
        return List.copyOf(faults);
    }

    Map<String, Call> callsById() {
        return calls.stream().collect(Collectors.toMap(Call::id, call -> call));
    }

    Map<String, List<Run>> runsById() {
        return runs.stream().collect(Collectors.groupingBy(Run::id));
    }
}
