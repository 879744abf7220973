package org.cuminspur.benchmarks.speed;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.cuminspur.config.Objective;
import org.cuminspur.config.ServiceKind;
import org.cuminspur.config.ServiceSpec;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.routing.Placement;
import org.cuminspur.routing.UpstreamSet;
import org.cuminspur.routing.UpstreamTracker;
import org.cuminspur.routing.UpstreamView;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Times one placement, its start and end on the tracker included; one in ten upstreams spills. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class PlacementBenchmark {
    private static final int SPILLING_EVERY = 10;
    private static final double SPILL = 0.5;

    /** How many upstreams the service has. */
    @Param({"14", "600"})
    public int upstreams;

    private UpstreamSet set;
    private long chat;

    /** Prepares the upstreams. */
    @Setup
    public void prepare() {
        ServiceSpec service = new ServiceSpec(
                new ServiceId("assistant"), ServiceKind.ENGINE, 1.25, 128, 8, 30_000, new Objective(0.99, 580, 42));
        UpstreamView[] views = IntStream.range(0, upstreams)
                .mapToObj(i -> new UpstreamView(
                        new UpstreamId("engine-" + i),
                        "127.0.0.1",
                        1,
                        new FailureDomainId("verona"),
                        1,
                        Integer.MAX_VALUE,
                        i % SPILLING_EVERY == 0 ? SPILL : 0,
                        new UpstreamTracker()))
                .toArray(UpstreamView[]::new);
        set = new UpstreamSet(service, views);
    }

    /** Places one chat. */
    @Benchmark
    public Optional<UpstreamView> place() {
        Optional<UpstreamView> placed = Placement.place(set, chat++, Set.of());
        placed.ifPresent(view -> view.tracker().end(true));
        return placed;
    }
}
