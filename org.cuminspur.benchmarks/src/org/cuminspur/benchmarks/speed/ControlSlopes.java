package org.cuminspur.benchmarks.speed;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cuminspur.control.ControlCore;

/**
 * Measures how the control state's heap and tick grow with the fleet.
 *
 * <p>Prints tab-separated lines: measure, routers, upstreams, accounts, value, unit.
 */
public final class ControlSlopes {
    private static final int CORES = 8;
    private static final int TICKS = 3_000;
    private static final long TICK_MS = 100;
    private static final long START_MS = 2_000_000;

    private ControlSlopes() {}

    /** Runs the measurement. */
    public static void main(String[] args) {
        Stream.of(
                        new TargetSize(6, 14, 10, 2),
                        new TargetSize(24, 60, 100, 3),
                        new TargetSize(90, 200, 400, 5),
                        TargetSize.TARGET)
                .forEach(ControlSlopes::measure);
    }

    private static void measure(TargetSize size) {
        size.core();
        long before = usedBytes();
        List<ControlCore> cores =
                IntStream.range(0, CORES).mapToObj(number -> size.core()).toList();
        long heap = (usedBytes() - before) / CORES;
        line("control heap", size, heap / 1_024.0, "KB");
        ControlCore core = cores.get(0);
        tickNanos(core, START_MS);
        line("control tick", size, tickNanos(core, START_MS + TICKS * TICK_MS) / 1_000, "us");
    }

    private static double tickNanos(ControlCore core, long startMillis) {
        long start = System.nanoTime();
        IntStream.range(0, TICKS).forEach(number -> core.tick(startMillis + number * TICK_MS, output -> {}));
        return (double) (System.nanoTime() - start) / TICKS;
    }

    private static long usedBytes() {
        IntStream.range(0, 3).forEach(number -> System.gc());
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static void line(String measure, TargetSize size, double value, String unit) {
        System.out.printf(
                "%s\t%d\t%d\t%d\t%.1f\t%s%n", measure, size.routers(), size.upstreams(), size.accounts(), value, unit);
    }
}
