package org.cuminspur.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.cuminspur.config.ConfigFault;
import org.cuminspur.id.Revision;
import org.cuminspur.pgm.internal.FaultReport;
import org.cuminspur.pgm.internal.Fleet;
import org.cuminspur.pgm.internal.SourceFiles;
import org.cuminspur.publish.PublishResult;
import org.cuminspur.publish.Publisher;

/** Publishes service files as one revision and waits until it is in force; used by one thread. */
@Parameters(commandDescription = "Publish service files and wait until they are in force")
final class Publish extends FleetCommand {
    private static final long COMMIT_TIMEOUT_MS = 60_000;

    @Parameter(description = "DIR...", required = true)
    private List<String> directories = new ArrayList<>();

    @Parameter(names = "--remove", description = "Name of a published file to remove; may be repeated")
    private List<String> removals = new ArrayList<>();

    @Override
    ExitCode run(Fleet fleet, Console console) {
        Either<List<ConfigFault>, Map<String, String>> files = SourceFiles.collect(directories);
        if (files.isLeft()) {
            return FaultReport.print(files.getLeft(), json(), console.out());
        }
        console.progress("publishing " + files.get().size() + " files");
        CompletableFuture<PublishResult> result = new CompletableFuture<>();
        String publication = UUID.randomUUID().toString();
        new Publisher(
                        fleet.store(),
                        publication,
                        files.get(),
                        Set.copyOf(removals),
                        fleet.backoff(COMMIT_TIMEOUT_MS),
                        result::complete)
                .start();
        return report(publication, result.join(), fleet, console);
    }

    private ExitCode report(String publication, PublishResult result, Fleet fleet, Console console) {
        if (result instanceof PublishResult.Published published) {
            return await(published.revision(), fleet, console);
        }
        if (result instanceof PublishResult.Unchanged unchanged) {
            console.progress("nothing differs from revision " + unchanged.revision());
            return await(unchanged.revision(), fleet, console);
        }
        if (result instanceof PublishResult.Invalid invalid) {
            return FaultReport.print(invalid.faults(), json(), console.out());
        }
        if (result instanceof PublishResult.Conflict conflict) {
            return console.fail("publication " + publication + " lost a race: by revision " + conflict.revision()
                    + " (publication " + conflict.publicationId() + ") the same files were changed meanwhile: "
                    + conflict.files() + "; nothing was published");
        }
        PublishResult.StoreUnavailable unavailable = (PublishResult.StoreUnavailable) result;
        return console.fail("the platform's store did not take the publication in time; "
                + (unavailable.mayHavePublished()
                        ? "the files may have been published; publish again to find out"
                        : "nothing was published"));
    }

    private ExitCode await(Revision revision, Fleet fleet, Console console) {
        console.progress("waiting for revision " + revision);
        Fleet.Reached reached = fleet.await(status -> status.revision() >= revision.value(), timeoutMillis());
        if (json()) {
            console.json(new ObjectMapper()
                    .createObjectNode()
                    .put("revision", revision.value())
                    .put("in_force", reached.instances())
                    .put("listed", reached.listed()));
        } else {
            console.line("revision " + revision + " is in force on " + reached.instances() + " of " + reached.listed()
                    + " instances");
        }
        return reached.all() ? ExitCode.DONE : ExitCode.FAILED;
    }
}
