package org.cuminspur.standin.demo;

import org.cuminspur.http.LogSetup;
import org.cuminspur.standin.fleet.LocalFleet;

/**
 * Demonstrates the whole system on this machine, one output line per step; exits with 1 if any step failed.
 *
 * <p>All processes that it started are ended on exit, also after an interrupt.
 */
public final class Demo {
    private Demo() {}

    /** Runs the demo; the one argument is the folder with the example service files. */
    public static void main(String[] args) {
        LogSetup.useLogbackFile("standin-logback.xml");
        LocalFleet fleet = new LocalFleet();
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::close, "end-processes"));
        StepList steps = new StepList(System.out);
        new DemoSteps(fleet, args[0]).addTo(steps);
        boolean succeeded = steps.run();
        System.exit(succeeded ? 0 : 1);
    }
}
