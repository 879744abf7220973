package org.cuminspur.standin.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Runs steps in order and prints one line for each; not thread-safe. */
final class StepList {
    /** A step of the demo; it fails by throwing an exception whose message is the reason. */
    @FunctionalInterface
    interface Step {
        /** Runs the step and returns the result to print. */
        String run() throws Exception;
    }

    private record Named(String name, Step step) {}

    private final PrintStream out;
    private final List<Named> steps = new ArrayList<>();

    StepList(PrintStream out) {
        this.out = out;
    }

    void add(String name, Step step) {
        steps.add(new Named(name, step));
    }

    /** Runs all steps, even after a failure; returns whether all succeeded. */
    boolean run() {
        return steps.stream().map(this::run).reduce(true, Boolean::logicalAnd);
    }

    private boolean run(Named named) {
        try {
            out.println("ok      " + named.name() + ": " + named.step().run());
            return true;
        } catch (Exception e) {
            String reason = e.getMessage() == null ? e.toString() : e.getMessage();
            out.println("FAILED  " + named.name() + ": " + reason.replace('\n', ' '));
            return false;
        }
    }
}
