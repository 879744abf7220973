package org.cuminspur.rollout;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.RouteId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.PromptDescription;
import org.cuminspur.traffic.UpstreamPool;
import org.cuminspur.traffic.UpstreamState;

/**
 * Splits requests between the versions of a service while one is rolled out, and collects what their answers show.
 *
 * <p>Not thread-safe; confined to the traffic thread. Each instance reports to the same few instances, by rendezvous order,
 * which assess the target for the whole fleet. Without a roll-out nothing is sent or scheduled.
 */
public final class RolloutMonitor {
    /** Instances that collect the reports of a roll-out: one decides, the others follow if it vanishes. */
    static final int COLLECTORS = 3;

    /** Interval between checks for something urgent to report. */
    static final long CHECK_INTERVAL_MS = 100;

    private static final long MIN_REPORT_INTERVAL_MS = 300;

    /** Limits what a collector receives to some 330 reports a second. */
    private static final long REPORT_INTERVAL_PER_INSTANCE_MS = 3;

    /** Sends messages to other instances, perhaps in vain, and reads the store. */
    public interface Host {
        void send(InstanceId to, RolloutMessage message);

        void sendToAll(RolloutMessage message);

        /** Asks for the latest changes of the store. */
        void requestConfirmation();
    }

    private final InstanceId self;
    private final Clock clock;
    private final Timer timer;
    private final UpstreamPool upstreams;
    private final RolloutBounds bounds;
    private final BooleanSupplier viewCurrent;
    private final Host host;
    private final EventSink events;
    private final Consumer<String> counter;
    private final long start;
    private final AnswerTimes times = new AnswerTimes();
    private final Map<ServiceId, ServiceRollout> rollouts = new HashMap<>();
    private FleetView view = FleetView.EMPTY;
    private boolean scheduled;

    /**
     * Creates a monitor without roll-outs.
     *
     * @param viewCurrent returns whether the view is recent enough to expose callers to a version without a verdict
     * @param counter counts by the name that it is given
     */
    public RolloutMonitor(
            InstanceId self,
            Clock clock,
            Timer timer,
            UpstreamPool upstreams,
            RolloutBounds bounds,
            BooleanSupplier viewCurrent,
            Host host,
            EventSink events,
            Consumer<String> counter) {
        this.self = self;
        this.clock = clock;
        this.timer = timer;
        this.upstreams = upstreams;
        this.bounds = bounds;
        this.viewCurrent = viewCurrent;
        this.host = host;
        this.events = events;
        this.counter = counter;
        this.start = clock.millis();
    }

    /** Applies a newer view of the fleet, after the upstreams were updated to it. */
    public void update(FleetView newView) {
        view = newView;
        Set<ServiceId> ended = new TreeSet<>(Comparator.comparing(ServiceId::value));
        ended.addAll(rollouts.keySet());
        ended.removeAll(newView.rollouts().keySet());
        ended.forEach(this::remove);
        newView.rollouts().forEach(this::update);
        rollouts.keySet().forEach(this::applyRoles);
        schedule();
    }

    private void remove(ServiceId service) {
        rollouts.remove(service);
        upstreams.upstreams(service).forEach(upstream -> upstream.setVersionRole(VersionRole.SERVING));
    }

    private void update(ServiceId service, RolloutView newView) {
        ServiceRollout known = rollouts.get(service);
        if (known == null || known.view().id() != newView.id()) {
            known = new ServiceRollout(newView, bounds, self, reportIntervalMillis());
            rollouts.put(service, known);
        }
        known.update(newView, clock.millis());
    }

    private void applyRoles(ServiceId service) {
        rollouts.get(service).applyRoles(upstreams.upstreams(service), clock.millis());
    }

    /** Records the first attempt of a request, and returns the version that it is to try, empty for any in service. */
    public Optional<SoftwareVersion> draw(ServiceId service, RouteId route) {
        ServiceRollout rollout = rollouts.get(service);
        return rollout != null
                        && rollout.draw(route, view.instances().size(), clock.millis())
                        && viewCurrent.getAsBoolean()
                ? Optional.of(rollout.view().order().target())
                : Optional.empty();
    }

    /** Returns upstreams that requests which were drawn for the canary do not use. */
    public Set<UpstreamId> unsuited(ServiceId service) {
        return Optional.ofNullable(rollouts.get(service))
                .map(ServiceRollout::unsuited)
                .orElse(Set.of());
    }

    /** Records that a request is sent to an upstream, and returns what observes the answer. */
    public AnswerObserver observe(UpstreamState upstream, RouteId route, PromptDescription prompt) {
        ServiceRollout rollout = rollouts.get(upstream.entry().service());
        boolean open = rollout != null && rollout.view().isOpen();
        if (open) {
            rollout.recordSent(upstream, route);
        }
        return new AnswerObservation(
                times,
                upstream,
                open && rollout.isTarget(upstream),
                route,
                prompt,
                bad -> {
                    if (open) {
                        count(rollout, upstream, route, bad);
                    }
                },
                clock.millis());
    }

    private void count(ServiceRollout rollout, UpstreamState upstream, RouteId route, boolean bad) {
        rollout.recordAnswer(upstream, route, bad);
        counter.accept("rollouts." + upstream.entry().service() + "."
                + upstream.entry().version() + (bad ? ".bad" : ".good"));
    }

    /** Handles a message of another instance. */
    public void receive(InstanceId from, RolloutMessage message) {
        find(message.rollout()).ifPresent(rollout -> receive(from, message, rollout));
        if (message instanceof RolloutMessage.Changed) {
            host.requestConfirmation();
        }
    }

    private void receive(InstanceId from, RolloutMessage message, ServiceRollout rollout) {
        if (message instanceof RolloutMessage.Report report) {
            rollout.evidence().add(from, report, clock.millis());
        } else if (message instanceof RolloutMessage.Stop) {
            stop(rollout, from);
        }
    }

    private Optional<ServiceRollout> find(long id) {
        return rollouts.values().stream()
                .filter(rollout -> rollout.view().id() == id)
                .findFirst();
    }

    /** Sends nothing more to the target of a roll-out, here and at all instances that hear of it. */
    public void stopTarget(ServiceId service, long id) {
        host.sendToAll(new RolloutMessage.Stop(id));
        find(id).ifPresent(rollout -> stop(rollout, self));
    }

    private void stop(ServiceRollout rollout, InstanceId by) {
        if (rollout.stopTarget()) {
            RolloutOrder order = rollout.view().order();
            events.emit(
                    "rollout-target-stopped",
                    "service",
                    order.service().value(),
                    "target",
                    order.target().value(),
                    "by",
                    by.value());
            applyRoles(order.service());
        }
    }

    /** Tells the other instances that the store holds a later phase. */
    public void announceChange(long id) {
        host.sendToAll(new RolloutMessage.Changed(id));
    }

    /** Returns what is known here of a roll-out. */
    public RolloutAssessment assess(ServiceId service, long id) {
        int rank = collectors(id).indexOf(self);
        ServiceRollout rollout = rollouts.get(service);
        if (rank < 0) {
            int later = COLLECTORS + (int) view.precedingInstances(self);
            return new RolloutAssessment(later, false, false, 0, 0, false, 0);
        } else if (rollout == null || rollout.view().id() != id) {
            return new RolloutAssessment(rank, false, false, 0, 0, false, 0);
        }
        Set<InstanceId> instances = new TreeSet<>(Comparator.comparing(InstanceId::value));
        instances.addAll(view.instances());
        instances.add(self);
        return rollout.assess(rank, upstreams.upstreams(service), instances, clock.millis());
    }

    /** Returns the instances that collect the reports of a roll-out, the one that decides first. */
    private List<InstanceId> collectors(long id) {
        Set<InstanceId> candidates = new TreeSet<>(Comparator.comparing(InstanceId::value));
        candidates.addAll(view.peers().keySet());
        candidates.add(self);
        return candidates.stream()
                .sorted(Comparator.comparingLong(instance -> Rendezvous.mix(id, Rendezvous.hash(instance.value()))))
                .limit(COLLECTORS)
                .toList();
    }

    private void schedule() {
        if (!scheduled
                && rollouts.values().stream().anyMatch(rollout -> rollout.view().isOpen())) {
            scheduled = true;
            timer.schedule(CHECK_INTERVAL_MS, this::check);
        }
    }

    private void check() {
        scheduled = false;
        rollouts.forEach((service, rollout) -> {
            if (rollout.view().isOpen()) {
                applyRoles(service);
                report(service, rollout);
            }
        });
        schedule();
    }

    private long reportIntervalMillis() {
        return Math.max(
                MIN_REPORT_INTERVAL_MS,
                REPORT_INTERVAL_PER_INSTANCE_MS * view.instances().size());
    }

    private void report(ServiceId service, ServiceRollout rollout) {
        rollout.nextReport(upstreams.upstreams(service), start, reportIntervalMillis(), clock.millis())
                .ifPresent(report -> collectors(report.rollout()).forEach(to -> {
                    if (to.equals(self)) {
                        rollout.evidence().add(self, report, clock.millis());
                    } else {
                        host.send(to, report);
                    }
                }));
    }
}
