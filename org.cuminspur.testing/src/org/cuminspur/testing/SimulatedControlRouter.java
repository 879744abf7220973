package org.cuminspur.testing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cuminspur.control.ControlCore;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ControlOutput;
import org.cuminspur.control.RouterIdentity;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.store.WatchedStore;

/**
 * One control core under virtual time, connected to a store and to the other routers of a {@link SimulatedControlFleet}.
 *
 * <p>Not thread-safe. A frozen router keeps its state, defers its inputs and skips ticks until it is unfrozen.
 */
public final class SimulatedControlRouter {
    public static final long TICK_MS = 100;

    private final VirtualTime time;
    private final SimulatedStore store;
    private final ControlCore core;
    private final RouterIdentity identity;
    private final Consumer<ControlOutput.SendPeerMessage> sender;
    private final Consumer<UpstreamId> probeHandler;
    private final Map<String, WatchedStore.Watch> watches = new HashMap<>();
    private final Queue<ControlInput> deferredInputs = new ArrayDeque<>();
    private final List<ControlOutput.StateChanged> stateChanges = new ArrayList<>();
    private boolean frozen;
    private boolean alive = true;

    SimulatedControlRouter(
            RouterIdentity identity,
            VirtualTime time,
            SimulatedStore store,
            RandomGenerator random,
            BiFunction<RouterIdentity, RandomGenerator, ControlCore> coreFactory,
            Consumer<ControlOutput.SendPeerMessage> sender,
            Consumer<UpstreamId> probeHandler) {
        this.identity = identity;
        this.time = time;
        this.store = store;
        this.sender = sender;
        this.probeHandler = probeHandler;
        this.core = coreFactory.apply(identity, random);
        time.schedule(random.nextLong(TICK_MS), this::firstTick);
    }

    public InstanceId id() {
        return identity.id();
    }

    public RouterIdentity identity() {
        return identity;
    }

    public ControlCore core() {
        return core;
    }

    /** Returns this router's connection to the store, whose faults affect no other router. */
    public SimulatedStore store() {
        return store;
    }

    /** Returns the state changes that the core has reported so far. */
    public List<ControlOutput.StateChanged> stateChanges() {
        return stateChanges;
    }

    /** Returns whether the router has not been killed; a frozen router is alive. */
    public boolean isAlive() {
        return alive;
    }

    public boolean isFrozen() {
        return frozen;
    }

    /** Passes an input to the core, or defers it while the router is frozen. */
    public void accept(ControlInput input) {
        if (!alive) {
            return;
        }
        if (frozen) {
            deferredInputs.add(input);
        } else {
            core.accept(input, time.nowMillis(), this::execute);
        }
    }

    /** Suspends the router until {@link #unfreeze}. */
    public void freeze() {
        frozen = true;
    }

    /** Resumes a frozen router; it first processes its deferred inputs. */
    public void unfreeze() {
        frozen = false;
        while (!deferredInputs.isEmpty()) {
            accept(deferredInputs.poll());
        }
    }

    /** Kills the router: it processes no more inputs and closes its watches. */
    public void kill() {
        alive = false;
        watches.values().forEach(WatchedStore.Watch::close);
    }

    private void firstTick() {
        tick();
        time.scheduleRepeating(TICK_MS, this::tick);
    }

    private boolean tick() {
        if (alive && !frozen) {
            core.tick(time.nowMillis(), this::execute);
        }
        return alive;
    }

    private void execute(ControlOutput output) {
        if (output instanceof ControlOutput.SendPeerMessage send) {
            sender.accept(send);
        } else if (output instanceof ControlOutput.ReadStore read) {
            store.range(read.prefix(), reply -> accept(new ControlInput.StoreRead(read.prefix(), reply)));
        } else if (output instanceof ControlOutput.CommitStore commit) {
            store.commit(commit.txn(), reply -> accept(new ControlInput.StoreCommitted(commit.tag(), reply)));
        } else if (output instanceof ControlOutput.StartWatch start) {
            watches.put(start.prefix(), watch(start));
        } else if (output instanceof ControlOutput.StopWatch stop && watches.containsKey(stop.prefix())) {
            watches.remove(stop.prefix()).close();
        } else if (output instanceof ControlOutput.ProbeUpstream probe) {
            probeHandler.accept(probe.upstream());
        } else if (output instanceof ControlOutput.StateChanged change) {
            stateChanges.add(change);
        }
    }

    private WatchedStore.Watch watch(ControlOutput.StartWatch start) {
        return store.watch(
                start.prefix(),
                start.afterRevision(),
                view -> accept(new ControlInput.StoreChanged(start.prefix(), view)),
                () -> accept(new ControlInput.WatchEnded(start.prefix())));
    }
}
