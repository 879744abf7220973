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
import org.cuminspur.store.Store;

/**
 * One control core on virtual time, joined to a store and to the other routers of a {@link MemoryFleet}.
 *
 * <p>Used by one thread. A frozen router takes its inputs and ticks only after it wakes, with the state it had.
 */
public final class MemoryRouter {
    /** Time between ticks. */
    public static final long TICK_MS = 100;

    private final VirtualTime time;
    private final MemoryStore store;
    private final ControlCore core;
    private final RouterIdentity self;
    private final Consumer<ControlOutput.SendPeerMessage> sender;
    private final Consumer<UpstreamId> prober;
    private final Map<String, Store.Watch> watches = new HashMap<>();
    private final Queue<ControlInput> heldBack = new ArrayDeque<>();
    private final List<ControlOutput.StateChanged> changes = new ArrayList<>();
    private boolean frozen;
    private boolean alive = true;

    MemoryRouter(
            RouterIdentity self,
            VirtualTime time,
            MemoryStore store,
            RandomGenerator random,
            BiFunction<RouterIdentity, RandomGenerator, ControlCore> cores,
            Consumer<ControlOutput.SendPeerMessage> sender,
            Consumer<UpstreamId> prober) {
        this.self = self;
        this.time = time;
        this.store = store;
        this.sender = sender;
        this.prober = prober;
        this.core = cores.apply(self, random);
        time.after(random.nextLong(TICK_MS), this::firstTick);
    }

    public InstanceId id() {
        return self.id();
    }

    public RouterIdentity self() {
        return self;
    }

    /** Returns the router's core. */
    public ControlCore core() {
        return core;
    }

    /** Returns the router's own way to the store, with faults of its own. */
    public MemoryStore store() {
        return store;
    }

    /** Returns the state changes told so far. */
    public List<ControlOutput.StateChanged> changes() {
        return changes;
    }

    /** Returns whether the router runs, frozen or not. */
    public boolean alive() {
        return alive;
    }

    /** Returns whether the router is frozen. */
    public boolean frozen() {
        return frozen;
    }

    /** Hands an input to the core, or holds it back while the router is frozen. */
    public void accept(ControlInput input) {
        if (!alive) {
            return;
        }
        if (frozen) {
            heldBack.add(input);
        } else {
            core.accept(input, time.now(), this::output);
        }
    }

    /** Stops the router from running until {@link #wake}. */
    public void freeze() {
        frozen = true;
    }

    /** Lets a frozen router run on; what it held back comes first. */
    public void wake() {
        frozen = false;
        while (!heldBack.isEmpty()) {
            accept(heldBack.poll());
        }
    }

    /** Ends the router at once. */
    public void kill() {
        alive = false;
        watches.values().forEach(Store.Watch::close);
    }

    private void firstTick() {
        tick();
        time.every(TICK_MS, this::tick);
    }

    private boolean tick() {
        if (alive && !frozen) {
            core.tick(time.now(), this::output);
        }
        return alive;
    }

    private void output(ControlOutput output) {
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
            prober.accept(probe.upstream());
        } else if (output instanceof ControlOutput.StateChanged change) {
            changes.add(change);
        }
    }

    private Store.Watch watch(ControlOutput.StartWatch start) {
        return store.watch(
                start.prefix(),
                start.afterRevision(),
                view -> accept(new ControlInput.StoreChanged(start.prefix(), view)),
                () -> accept(new ControlInput.WatchEnded(start.prefix())));
    }
}
