package org.cuminspur.pgm;

import com.beust.jcommander.Parameter;

/** A subcommand with the options that all share; used by one thread. */
abstract class Command {
    @Parameter(names = "--json", description = "Print JSON instead of text")
    private boolean json;

    @Parameter(names = "--help", description = "Show this help", help = true)
    private boolean help;

    /** Runs the command. */
    abstract ExitCode run(Console console);

    boolean json() {
        return json;
    }

    boolean help() {
        return help;
    }
}
