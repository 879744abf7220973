package org.cuminspur.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cuminspur.config.ConfigFault;
import org.cuminspur.config.ConfigParser;
import org.cuminspur.config.FleetConfig;
import org.cuminspur.pgm.internal.FaultReport;
import org.cuminspur.pgm.internal.SourceFiles;

/** Checks service files without publishing them; used by one thread. */
@Parameters(commandDescription = "Check service files and report every fault")
final class Check extends Command {
    @Parameter(description = "DIR...", required = true)
    private List<String> directories = new ArrayList<>();

    @Override
    ExitCode run(Console console) {
        Either<List<ConfigFault>, Map<String, String>> files = SourceFiles.collect(directories);
        Either<List<ConfigFault>, FleetConfig> checked = files.flatMap(ConfigParser::parse);
        if (checked.isLeft()) {
            return FaultReport.print(checked.getLeft(), json(), console.out());
        }
        if (json()) {
            return FaultReport.print(List.of(), true, console.out());
        }
        FleetConfig config = checked.get();
        console.line("ok: " + config.services().size() + " services, "
                + config.routes().size() + " routes, "
                + config.accounts().size() + " accounts, "
                + config.domains().size() + " failure domains");
        return ExitCode.DONE;
    }
}
