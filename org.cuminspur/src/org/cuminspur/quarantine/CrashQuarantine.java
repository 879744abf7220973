package org.cuminspur.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.InstanceId;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;
import org.cuminspur.traffic.FactGossip;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamProcessId;

/**
 * Keeps requests from the upstreams that crash each upstream that begins to answer them, by a part of their prompts or by
 * themselves.
 *
 * <p>Not thread-safe; confined to the traffic thread. All requests in progress fall with an upstream, so a crash accuses
 * those that had no answer, and each shared part of their prompts unless a request with the part was answered shortly
 * before, at any instance. A request that two crashes accuse is quarantined, and so is a part that crashes under different
 * requests accuse: of the requests with the suspect, one at a time is tried, fleet-wide. If it is answered, the suspect is
 * cleared; after each further crash the next trial comes later. Instances tell each other what they see, and decide alike
 * from it. Bodies are hashed only of requests that broke, or that are like an accused one but for the body.
 */
public final class CrashQuarantine {
    /** Time from the first byte of a response's body after which it clears the suspects of its request. */
    public static final long PROVEN_MS = 500;

    /** Time from the first byte of a response's body up to which a crash still accuses the suspects of its request. */
    static final long SUSPECT_MS = 250;

    /** Time between trials of a suspect whose outcome is not known. */
    static final long TRIAL_INTERVAL_MS = 2_000;

    /** Additional delay of the trial of a request with several quarantined suspects, so that each is tried alone first. */
    static final long JOINT_TRIAL_DELAY_MS = 2_000;

    private static final long MIN_RETRY_AFTER_MS = 1_000;

    /** Accusations remembered, in order to withdraw them if another instance objects. */
    private static final int MAX_ACCUSATIONS = 256;

    /** What the quarantine does and asks of its instance. */
    public interface Host {
        /** Sends a message to another instance, perhaps in vain. */
        void send(InstanceId to, QuarantineMessage message);

        /** Sends a message to all other instances, perhaps in vain. */
        void sendToAll(QuarantineMessage message);

        /** Ends the requests in progress that have a part and no answer yet. */
        void cancel(SuspectId suspect);
    }

    private final Clock clock;
    private final Timer timer;
    private final Host host;
    private final EventSink events;
    private final AnsweredSuspects answered = new AnsweredSuspects();
    private final CrashEvidence evidence = new CrashEvidence();
    private final FactGossip<SuspectCrash> gossip;
    private final TrialArbiter trials;
    private final Set<SuspectId> quarantined = new HashSet<>();
    private final Set<Accusation> accusations = new LinkedHashSet<>();
    private final List<Waiting> waiting = new ArrayList<>();

    /** A suspect that this instance accused of a crash. */
    private record Accusation(SuspectId suspect, UpstreamProcessId process) {}

    /** A request that waits until its parts are cleared. */
    private record Waiting(List<SuspectId> parts, Consumer<Boolean> result) {}

    /**
     * Creates a quarantine without any suspect.
     *
     * @param clock never goes back
     */
    public CrashQuarantine(InstanceId self, Clock clock, Timer timer, Random random, Host host, EventSink events) {
        this.clock = clock;
        this.timer = timer;
        this.host = host;
        this.events = events;
        FactGossip.Channel<SuspectCrash> channel = new FactGossip.Channel<>() {
            @Override
            public void sendToAll(List<SuspectCrash> facts) {
                host.sendToAll(new QuarantineMessage.Crashes(facts));
            }

            @Override
            public void send(InstanceId to, List<SuspectCrash> facts) {
                host.send(to, new QuarantineMessage.Crashes(facts));
            }
        };
        gossip = new FactGossip<>(self, timer, random, QuarantineCodec.MAX_CRASHES, this::quarantineFacts, channel);
        trials = new TrialArbiter(
                self, clock, timer, host::send, part -> isQuarantined(part) && trialDueMillis(part) <= clock.millis());
    }

    /** Applies a newer view of the fleet. */
    public void update(FleetView view) {
        gossip.update(view);
        trials.update(view);
    }

    /** Decides whether a request may be sent; the result is passed on at once, or soon if it may be a trial. */
    public void admit(Suspects suspects, Consumer<Admission> result) {
        if (quarantined.isEmpty()) {
            result.accept(Admission.ADMITTED);
            return;
        }
        long now = clock.millis();
        List<SuspectId> held = quarantinedOf(suspects, now);
        if (held.isEmpty()) {
            result.accept(Admission.ADMITTED);
            return;
        }
        long jointDelay = held.size() > 1 ? JOINT_TRIAL_DELAY_MS : 0;
        long dueMillis =
                jointDelay + held.stream().mapToLong(this::trialDueMillis).max().orElse(now);
        Admission rejected = Admission.rejected(Math.max(MIN_RETRY_AFTER_MS, dueMillis - now));
        if (dueMillis > now) {
            result.accept(rejected);
        } else {
            trials.request(held, granted -> result.accept(granted ? Admission.TRIAL : rejected));
        }
    }

    /** Returns whether a request is held back but for trials. */
    public boolean holdsBack(Suspects suspects) {
        return !quarantined.isEmpty()
                && !quarantinedOf(suspects, clock.millis()).isEmpty();
    }

    /** Returns the suspects of a request that are quarantined. */
    private List<SuspectId> quarantinedOf(Suspects suspects, long nowMillis) {
        List<SuspectId> held = new ArrayList<>(suspects.parts().stream()
                .filter(part -> isQuarantined(part, nowMillis))
                .toList());
        if (evidence.maySuspectRequest(suspects.prefix()) && isQuarantined(suspects.request(), nowMillis)) {
            held.add(suspects.request());
        }
        return held;
    }

    /** Returns whether requests with a suspect are held back. */
    public boolean isQuarantined(SuspectId suspect) {
        return isQuarantined(suspect, clock.millis());
    }

    /** Returns whether requests with each of these parts were answered here lately, or at instances that objected. */
    public boolean areAnswered(List<SuspectId> parts) {
        long now = clock.millis();
        return parts.stream().allMatch(part -> answered.clears(part, now) || evidence.isLastCleared(part));
    }

    /** Returns whether a crash that nobody objected to accuses a request. */
    public boolean isAccused(Suspects suspects) {
        return evidence.maySuspectRequest(suspects.prefix()) && evidence.isSuspect(suspects.request());
    }

    /**
     * Records that a response to a request went on for a while, or was complete.
     *
     * @param beganMillis when its first byte arrived; the request may crash upstreams only since then
     */
    public void recordAnswered(Suspects suspects, long beganMillis) {
        long now = clock.millis();
        List<SuspectId> shown = new ArrayList<>(suspects.parts());
        if (evidence.maySuspectRequest(suspects.prefix())) {
            shown.add(suspects.request());
        }
        shown.forEach(suspect -> answered.record(suspect, beganMillis));
        List<SuspectCrash> cleared = shown.stream()
                .filter(evidence::isSuspect)
                .flatMap(suspect -> evidence.clear(suspect, beganMillis, now).stream())
                .toList();
        if (!cleared.isEmpty()) {
            gossip.announce(cleared);
            refresh();
        }
    }

    /** Accuses the requests that may have ended an upstream, and their parts, and tells the other instances. */
    public void recordEnd(UpstreamEnd end) {
        long now = clock.millis();
        evidence.evictExpired(now);
        UpstreamProcessId process = UpstreamProcessId.of(end.upstream());
        List<SuspectCrash> accused = end.inProgress().stream()
                .filter(BrokenRequest::isSuspect)
                .flatMap(request -> request.suspects()
                        .all()
                        .filter(suspect -> !answered.clears(suspect, now))
                        .map(suspect -> new SuspectCrash(
                                suspect, process, request.suspects().request().hash(), 0, false)))
                .distinct()
                .filter(fact -> evidence.add(fact, now))
                .toList();
        if (!accused.isEmpty()) {
            accused.forEach(this::rememberAccusation);
            accused.forEach(fact -> events.emit(
                    fact.suspect().label() + "-accused",
                    fact.suspect().label(),
                    fact.suspect().toString(),
                    "upstream",
                    end.upstream().id().value(),
                    "crashes",
                    evidence.standingCount(fact.suspect())));
            gossip.announce(accused);
            refreshLater();
        }
    }

    /**
     * Finds out whether a request that fell with its upstream may be sent to another one: not if an earlier crash accuses
     * it too, nor before each of its parts is known to have been answered lately, as instances say that were told of the
     * crash.
     *
     * @param result receives the answer at once or within {@link CrashEvidence#OBJECTION_MS}
     */
    public void awaitVerdict(Suspects suspects, Consumer<Boolean> result) {
        if (evidence.standingCount(suspects.request()) >= CrashEvidence.QUARANTINE_CRASHES) {
            result.accept(false);
        } else {
            awaitObjections(suspects.parts(), result);
        }
    }

    /**
     * Finds out whether requests with each of the parts were answered lately, as instances say that were told of a crash.
     *
     * @param result receives the answer at once or within {@link CrashEvidence#OBJECTION_MS}
     */
    void awaitObjections(List<SuspectId> parts, Consumer<Boolean> result) {
        if (areAnswered(parts) || !gossip.hasPeers()) {
            result.accept(areAnswered(parts));
            return;
        }
        Waiting entry = new Waiting(parts, result);
        waiting.add(entry);
        timer.schedule(CrashEvidence.OBJECTION_MS, () -> {
            if (waiting.remove(entry)) {
                result.accept(areAnswered(parts));
            }
        });
    }

    /** Handles a message of another instance. */
    public void receive(InstanceId from, QuarantineMessage message) {
        if (message instanceof QuarantineMessage.Crashes crashes) {
            receive(from, crashes.crashes());
        } else {
            trials.receive(from, message);
        }
    }

    private void receive(InstanceId from, List<SuspectCrash> facts) {
        long now = clock.millis();
        List<SuspectCrash> objections = new ArrayList<>();
        List<SuspectCrash> withdrawn = new ArrayList<>();
        evidence.evictExpired(now);
        for (SuspectCrash fact : facts) {
            boolean clears = fact.cleared() || answered.clears(fact.suspect(), now - fact.ageMillis());
            evidence.add(clears ? fact.asCleared() : fact, now);
            SuspectCrash cleared = fact.asCleared();
            if (!fact.cleared() && evidence.isCleared(fact.suspect(), fact.process())) {
                objections.add(cleared);
            }
            if (fact.cleared() && accusations.remove(new Accusation(fact.suspect(), fact.process()))) {
                withdrawn.add(cleared);
            }
        }
        gossip.reply(from, objections);
        gossip.announce(withdrawn);
        settleWaiting();
        refreshLater();
        gossip.keepSpreading();
    }

    private void rememberAccusation(SuspectCrash fact) {
        accusations.add(new Accusation(fact.suspect(), fact.process()));
        if (accusations.size() > MAX_ACCUSATIONS) {
            accusations.remove(accusations.iterator().next());
        }
    }

    private void settleWaiting() {
        List<Waiting> settled =
                waiting.stream().filter(entry -> areAnswered(entry.parts())).toList();
        waiting.removeAll(settled);
        settled.forEach(entry -> entry.result().accept(true));
    }

    private boolean isQuarantined(SuspectId suspect, long nowMillis) {
        return quarantined.contains(suspect) && evidence.isQuarantined(suspect, nowMillis);
    }

    /** Returns when the next trial of a suspect is due. */
    private long trialDueMillis(SuspectId suspect) {
        return evidence.lastMillis(suspect) + TrialArbiter.delayMillis(evidence.count(suspect, clock.millis()));
    }

    private List<SuspectCrash> quarantineFacts() {
        long now = clock.millis();
        evidence.evictExpired(now);
        refresh();
        return quarantined.stream().flatMap(part -> evidence.facts(part, now)).toList();
    }

    private void refreshLater() {
        timer.schedule(CrashEvidence.OBJECTION_MS, this::refresh);
    }

    /** Quarantines and releases suspects by what is known now. */
    private void refresh() {
        long now = clock.millis();
        Set<SuspectId> current = evidence.quarantined(now);
        quarantined.stream()
                .filter(part -> !current.contains(part))
                .forEach(suspect -> events.emit(suspect.label() + "-released", suspect.label(), suspect.toString()));
        List<SuspectId> added =
                current.stream().filter(part -> !quarantined.contains(part)).toList();
        quarantined.clear();
        quarantined.addAll(current);
        added.forEach(suspect -> {
            events.emit(
                    suspect.label() + "-quarantined",
                    suspect.label(),
                    suspect.toString(),
                    "crashes",
                    evidence.count(suspect, now));
            if (!suspect.isRequest()) {
                host.cancel(suspect);
            }
        });
    }
}
