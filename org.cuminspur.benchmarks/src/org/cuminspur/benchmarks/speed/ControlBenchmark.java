package org.cuminspur.benchmarks.speed;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cuminspur.control.ControlCore;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ListedInstance;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Times the control thread's work; its state belongs to one benchmark thread. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class ControlBenchmark {
    private static final long TICK_MS = 100;

    @Param({"14", "600"})
    private int upstreams;

    private ControlCore core;
    private List<ListedInstance> instances;
    private long now = 2_000_000;

    /** Builds the state. */
    @Setup
    public void setUp() {
        TargetSize size = upstreams == 600 ? TargetSize.TARGET : new TargetSize(6, upstreams, 10, 2);
        core = size.core();
        instances = size.instances();
    }

    /** One tick of the control core. */
    @Benchmark
    public ControlCore tick() {
        now += TICK_MS;
        core.tick(now, output -> {});
        return core;
    }

    /** One reading of the platform's instance list. */
    @Benchmark
    public ControlCore listInstances() {
        core.accept(new ControlInput.InstancesListed(instances), now, output -> {});
        return core;
    }
}
