package org.cuminspur.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.pgm.internal.Fleet;
import org.cuminspur.pgm.internal.FleetReport;
import org.cuminspur.pgm.internal.ReportHtml;
import org.cuminspur.pgm.internal.ReportJson;
import org.cuminspur.pgm.internal.ReportText;
import org.cuminspur.slo.BurnReport;

/** Shows how services and client accounts stand against their objectives; used by one thread. */
@Parameters(commandDescription = "Show service against its objectives: burn rates, error budgets and times")
final class Report extends FleetCommand {
    @Parameter(names = "--html", description = "Write the report as an HTML page to this file")
    private String html = "";

    @Override
    ExitCode run(Fleet fleet, Console console) {
        Option<List<ListedInstance>> routers = fleet.routers();
        if (routers.isEmpty()) {
            return console.fail("the platform's instance list does not answer");
        }
        List<BurnReport> parts = fleet.burnReports(routers.get());
        BurnReport sum = parts.stream().reduce(BurnReport.EMPTY, BurnReport::plus);
        FleetReport report = new FleetReport(parts.size(), routers.get().size(), sum);
        if (json()) {
            console.json(ReportJson.of(report));
        } else {
            ReportText.lines(report).forEach(console::line);
        }
        if (!html.isEmpty()
                && Try.of(() -> Files.writeString(Path.of(html), ReportHtml.of(report)))
                        .isFailure()) {
            return console.fail("cannot write " + html);
        }
        return report.answered() == report.listed() ? ExitCode.DONE : ExitCode.FAILED;
    }
}
