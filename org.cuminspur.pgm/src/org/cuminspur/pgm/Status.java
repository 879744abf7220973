package org.cuminspur.pgm;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vavr.control.Option;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.pgm.internal.Fleet;
import org.cuminspur.pgm.internal.RouterStatus;

/** Shows what each router says of itself; used by one thread. */
@Parameters(commandDescription = "Show the state of every instance")
final class Status extends FleetCommand {
    @Override
    ExitCode run(Fleet fleet, Console console) {
        Option<List<ListedInstance>> routers = fleet.routers();
        if (routers.isEmpty()) {
            return console.fail("the platform's instance list does not answer");
        }
        List<RouterStatus> statuses = fleet.statuses(routers.get());
        if (json()) {
            ArrayNode array = new ObjectMapper().createArrayNode();
            statuses.forEach(status -> status.json().forEach(array::add));
            console.json(array);
        } else {
            statuses.forEach(status -> console.line(line(status)));
        }
        return statuses.stream().allMatch(RouterStatus::answered) ? ExitCode.DONE : ExitCode.FAILED;
    }

    private static String line(RouterStatus status) {
        String name = status.instance().name() + " (" + status.instance().domain() + ")";
        return status.json().map(node -> name + " " + summary(node)).getOrElse(name + " does not answer");
    }

    private static String summary(JsonNode node) {
        String out = StreamSupport.stream(node.path("orders").spliterator(), false)
                .filter(order -> order.path("out").asBoolean())
                .map(order -> order.path("target").asText())
                .collect(Collectors.joining(","));
        return (node.path("ready").asBoolean() ? "ready" : "not ready") + " revision="
                + node.path("revision").asLong() + " upstreams="
                + node.path("upstreams").size() + " out=["
                + out + "]";
    }
}
