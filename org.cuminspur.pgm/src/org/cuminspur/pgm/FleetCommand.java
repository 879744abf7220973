package org.cuminspur.pgm;

import com.beust.jcommander.Parameter;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import org.cuminspur.config.ConfigFault;
import org.cuminspur.pgm.internal.Fleet;
import org.cuminspur.pgm.internal.OperatorSettings;

/** A subcommand that speaks to the platform and the routers; used by one thread. */
abstract class FleetCommand extends Command {
    @Parameter(names = "--settings", description = "INI file that says where the platform is", required = true)
    private String settings;

    @Parameter(names = "--timeout", description = "Seconds to wait for all instances")
    private long timeoutSeconds = 10;

    long timeoutMillis() {
        return timeoutSeconds * 1_000;
    }

    @Override
    final ExitCode run(Console console) {
        Either<List<ConfigFault>, OperatorSettings> parsed = OperatorSettings.read(Path.of(settings));
        if (parsed.isLeft()) {
            parsed.getLeft().forEach(fault -> console.progress(fault.toString()));
            return console.fail("the settings have faults");
        }
        try (Fleet fleet = new Fleet(parsed.get())) {
            return run(fleet, console);
        }
    }

    /** Runs the command against the fleet. */
    abstract ExitCode run(Fleet fleet, Console console);
}
