package org.cuminspur.traffic;

import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.cuminspur.id.InstanceId;
import org.cuminspur.testing.VirtualTime;

/** One start of an instance that serves simulated streams; not thread-safe. */
final class SimulatedStreamInstance {
    static final long CONTACT_MS = 3_000;

    private static final int MAX_CONFIRM_DELAY_MS = 300;
    private static final long CONFIRM_TIMEOUT_MS = 1_000;

    private final StreamVersionSimulation simulation;
    private final VirtualTime time;
    private final Random random;
    final InstanceId id;
    private final long startedMillis;
    final UpstreamPool pool;
    final PromptPlacement placement;
    final StreamOriginDirectory origins;
    boolean running = true;
    private Optional<OutOfStep> outOfStep = Optional.empty();
    private long outOfStepUntilMillis;
    private long viewNumber;

    SimulatedStreamInstance(InstanceId id, StreamVersionSimulation simulation) {
        this.simulation = simulation;
        this.time = simulation.time;
        this.random = simulation.random;
        startedMillis = time.nowMillis();
        this.id = id;
        pool = new UpstreamPool(id, TrafficFixtures.BOUNDS, gone -> {});
        placement =
                new PromptPlacement(TrafficFixtures.MILANO, TrafficFixtures.BOUNDS.loadFactor(), random::nextDouble);
        origins = new StreamOriginDirectory(
                id,
                time.clock(),
                (delay, action) -> time.schedule(delay, whileRunning(action)),
                (to, message) -> simulation.deliver(this, to, message));
        apply(simulation.view(), simulation.viewsSent);
    }

    /** Applies a view unless it is older than the last one. */
    void apply(FleetView view, long number) {
        if (running && seesStore() && number >= viewNumber) {
            viewNumber = number;
            pool.update(view, time.nowMillis());
            origins.update(view);
        }
    }

    boolean inTouch() {
        return time.nowMillis() - Math.max(startedMillis, outOfStepUntilMillis) >= CONTACT_MS;
    }

    boolean seesStore() {
        return outOfStep.map(OutOfStep::seesStore).orElse(true);
    }

    boolean seesOthers() {
        return outOfStep.map(OutOfStep::seesOthers).orElse(true);
    }

    /** Returns the time before which nothing happens at this instance. */
    long stillMillis() {
        return outOfStep.filter(OutOfStep.FROZEN::equals).isPresent()
                ? Math.max(0, outOfStepUntilMillis - time.nowMillis())
                : 0;
    }

    void putOutOfStep(OutOfStep how, long millis) {
        outOfStep = Optional.of(how);
        outOfStepUntilMillis = time.nowMillis() + millis;
        time.schedule(millis, () -> {
            outOfStep = Optional.empty();
            // The store is seen again, but what changed meanwhile takes its usual time.
            time.schedule(
                    1 + random.nextInt(StreamVersionSimulation.MAX_VIEW_DELAY_MS),
                    () -> apply(simulation.view(), simulation.viewsSent));
        });
    }

    /** Passes on whether a read that starts now has confirmed the view. */
    void confirm(Consumer<Boolean> result) {
        if (!seesStore()) {
            time.schedule(CONFIRM_TIMEOUT_MS, whileRunning(() -> result.accept(false)));
            return;
        }
        time.schedule(1 + random.nextInt(MAX_CONFIRM_DELAY_MS), whileRunning(() -> {
            apply(simulation.view(), simulation.viewsSent);
            result.accept(seesStore());
        }));
    }

    private Runnable whileRunning(Runnable action) {
        return () -> {
            if (running) {
                action.run();
            }
        };
    }
}
