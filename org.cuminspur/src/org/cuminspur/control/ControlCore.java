package org.cuminspur.control;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.cuminspur.admission.AccountLimiters;
import org.cuminspur.control.system.AccountShareSystem;
import org.cuminspur.control.system.AlertSystem;
import org.cuminspur.control.system.ColdStartSystem;
import org.cuminspur.control.system.ConfigSystem;
import org.cuminspur.control.system.GossipSystem;
import org.cuminspur.control.system.LeavingUpstreamSystem;
import org.cuminspur.control.system.LoadSystem;
import org.cuminspur.control.system.MembershipSystem;
import org.cuminspur.control.system.OrderSystem;
import org.cuminspur.control.system.ProbeSystem;
import org.cuminspur.control.system.RouterRanks;
import org.cuminspur.control.system.StoreWatchSystem;
import org.cuminspur.routing.RoutingSnapshot;

/**
 * The control logic of one router: consumes inputs, emits outputs, and builds the snapshot that requests are routed by.
 *
 * <p>Has no sockets, threads or clock of its own. {@link #accept} and {@link #tick} are called on one thread;
 * {@link #snapshot} may be called on any. Equal inputs, times, seeds and recorded requests give equal outputs.
 */
public final class ControlCore {
    private final ControlState state;
    private final InputHandlers handlers = new InputHandlers();
    private final List<ControlSystem> systems;
    private final SnapshotBuilder snapshotBuilder = new SnapshotBuilder();
    private volatile RoutingSnapshot snapshot = RoutingSnapshot.EMPTY;

    public ControlCore(RouterIdentity self, RandomGenerator random) {
        this(self, state -> defaultSystems(state, random));
    }

    /** Creates a core that runs the given systems in order. */
    public ControlCore(RouterIdentity self, Function<ControlState, List<ControlSystem>> systemFactory) {
        state = new ControlState(self);
        systems = List.copyOf(systemFactory.apply(state));
        systems.forEach(system -> system.register(handlers));
        handlers.on(ControlInput.StopRequested.class, (input, step) -> state.markStopping());
    }

    /** Returns the systems that a router runs. */
    public static List<ControlSystem> defaultSystems(ControlState state, RandomGenerator random) {
        RouterRanks ranks = new RouterRanks(state);
        return List.of(
                new MembershipSystem(state),
                new LeavingUpstreamSystem(state, random),
                new StoreWatchSystem(state, random),
                new ConfigSystem(state),
                new OrderSystem(state),
                new GossipSystem(state, random),
                new AccountShareSystem(state, random),
                new ProbeSystem(state, ranks),
                new ColdStartSystem(state, ranks),
                new LoadSystem(state, ranks),
                new AlertSystem(state));
    }

    /** Handles one input. */
    public void accept(ControlInput input, long now, Consumer<ControlOutput> out) {
        handlers.handle(input, new ControlStep(now, out));
    }

    /** Runs all systems once, then publishes a new snapshot. */
    public void tick(long now, Consumer<ControlOutput> out) {
        ControlStep step = new ControlStep(now, out);
        systems.forEach(system -> system.tick(step));
        publishSnapshot();
    }

    /** Publishes a snapshot of the current state. */
    public void publishSnapshot() {
        snapshot = snapshotBuilder.build(state);
    }

    /** Returns the newest snapshot. */
    public RoutingSnapshot snapshot() {
        return snapshot;
    }

    /** Returns the limiters of the accounts that this router serves; may be called on any thread. */
    public AccountLimiters accountLimiters() {
        return state.accountLimiters();
    }

    /** Returns the control state; for use on the control thread only. */
    public ControlState state() {
        return state;
    }
}
