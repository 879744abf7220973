package org.cuminspur.pgm;

import com.beust.jcommander.Parameter;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.control.Target;
import org.cuminspur.pgm.internal.Fleet;

/** Gives an order about a target and waits until all routers hold it; used by one thread. */
abstract class OrderCommand extends FleetCommand {
    @Parameter(description = "domain/NAME or upstream/NAME", required = true)
    private List<String> targets = new ArrayList<>();

    @Parameter(names = "--by", description = "Who gives the order, for the record")
    private String by = "operator";

    private final boolean out;

    OrderCommand(boolean out) {
        this.out = out;
    }

    @Override
    ExitCode run(Fleet fleet, Console console) {
        Option<Target> target = targets.size() == 1 ? Target.parse(targets.get(0)) : Option.none();
        if (target.isEmpty()) {
            console.fail("expected one target, domain/NAME or upstream/NAME");
            return ExitCode.WRONG_USAGE;
        }
        List<ListedInstance> routers = fleet.routers().getOrElse(List.of());
        console.progress("giving the order to one of " + routers.size() + " instances");
        boolean accepted = routers.stream().anyMatch(router -> fleet.order(router, target.get(), out, by));
        if (!accepted) {
            return console.fail("no instance accepted the order");
        }
        return await(target.get(), fleet, console);
    }

    private ExitCode await(Target target, Fleet fleet, Console console) {
        Fleet.Reached reached = fleet.await(status -> status.hasOrder(target.label(), out), timeoutMillis());
        console.line(target.label() + " is " + (out ? "out of" : "in") + " service on " + reached.instances() + " of "
                + reached.listed() + " instances");
        return reached.all() ? ExitCode.DONE : ExitCode.FAILED;
    }
}
