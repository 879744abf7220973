package org.cuminspur.pgm;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.collection.Iterator;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.control.Target;
import org.cuminspur.pgm.internal.Fleet;
import org.cuminspur.pgm.internal.RouterStatus;

/**
 * Gives an order about a target and waits until all routers hold it; used by one thread.
 *
 * <p>The command never reports success before every listed router holds the order, so one that was accepted by a
 * router that then failed is not taken for done.
 */
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
        Option<List<ListedInstance>> routers = fleet.routers();
        if (routers.isEmpty()) {
            return console.fail("the platform's instance list does not answer");
        }
        console.progress("giving the order to one of " + routers.get().size() + " instances");
        return Iterator.ofAll(routers.get())
                .flatMap(router -> fleet.order(router, target.get(), out, by))
                .headOption()
                .map(generation -> await(target.get(), generation, fleet, console))
                .getOrElse(() -> console.fail("no instance accepted the order"));
    }

    private ExitCode await(Target target, long generation, Fleet fleet, Console console) {
        Fleet.Reached reached = fleet.await(status -> status.holdsOrder(target.label(), generation), timeoutMillis());
        Option<JsonNode> beaten = fleet.routers()
                .map(fleet::statuses)
                .flatMap(all -> Iterator.ofAll(all)
                        .flatMap(status -> order(status, target))
                        .find(order -> order.path("generation").asLong() >= generation
                                && order.path("out").asBoolean() != out));
        report(target, generation, reached, console);
        if (beaten.isDefined()) {
            return console.fail("the order lost: " + beaten.get().path("by").asText() + " gave the opposite order");
        }
        if (reached.instances() == 0) {
            return console.fail("no instance holds the order any more; give it again");
        }
        return reached.all() ? ExitCode.DONE : ExitCode.FAILED;
    }

    private static Option<JsonNode> order(RouterStatus status, Target target) {
        return status.order(target.label());
    }

    private void report(Target target, long generation, Fleet.Reached reached, Console console) {
        if (json()) {
            console.json(new ObjectMapper()
                    .createObjectNode()
                    .put("target", target.label())
                    .put("out", out)
                    .put("generation", generation)
                    .put("held", reached.instances())
                    .put("listed", reached.listed()));
        } else {
            console.line(target.label() + " is " + (out ? "out of" : "in") + " service on " + reached.instances()
                    + " of " + reached.listed() + " instances");
        }
    }
}
