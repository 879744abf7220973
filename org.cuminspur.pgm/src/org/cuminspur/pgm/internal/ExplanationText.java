package org.cuminspur.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Writes an instance's explanation of a placement as text; stateless and thread-safe. */
public final class ExplanationText {
    private ExplanationText() {}

    /** Returns the lines of an explanation. */
    public static List<String> lines(JsonNode node) {
        List<String> lines = new ArrayList<>();
        lines.add(node.path("instance").asText() + ", view "
                + node.path("viewAgeMillis").asLong() + " ms old"
                + (node.path("accepts").asBoolean() ? "" : ", stopping"));
        if (node.has("refused")) {
            lines.add("refused: " + node.path("refused").asText());
        }
        if (node.has("route")) {
            lines.add("route " + node.path("route").asText() + " ("
                    + node.path("kind").asText() + "), revision "
                    + node.path("revision").asLong() + ", priority "
                    + node.path("priority").asInt() + ", at most "
                    + node.path("maxAttempts").asInt() + " upstreams, limit "
                    + node.path("timeoutMillis").asLong() + " ms");
        }
        node.path("services").forEach(service -> add(service, lines));
        return lines;
    }

    private static void add(JsonNode service, List<String> lines) {
        lines.add("service " + service.path("service").asText() + ", weight "
                + service.path("weight").asInt()
                + (service.path("ownPath").asBoolean() ? "" : ", through another instance"));
        addBalance(service.path("balance"), lines);
        lines.add("  goes to " + choice(service.path("choice")));
        lines.add("  if that fails before it runs: " + choice(service.path("retry")));
        service.path("candidates").forEach(candidate -> lines.add(candidate(candidate)));
    }

    private static void addBalance(JsonNode balance, List<String> lines) {
        if (balance.isObject()) {
            lines.add("  assigned by " + balance.path("assigner").asText() + ", where "
                    + balance.path("waiting").asInt() + " wait");
            balance.path("upstreams")
                    .forEach(known -> lines.add("    " + known.path("upstream").asText() + " holds "
                            + number(known.path("held")) + " of "
                            + known.path("limit").asInt() + ", takes " + number(known.path("slowness"))
                            + " times as long, errors " + number(known.path("errorShare"))
                            + (known.path("hasRoom").asBoolean() ? "" : ", no room")));
        }
    }

    private static String choice(JsonNode choice) {
        return choice.isObject()
                ? choice.path("upstream").asText() + " ("
                        + choice.path("reason").asText() + "), load "
                        + number(choice.path("load")) + ", mean " + number(choice.path("meanLoad")) + ", limit "
                        + number(choice.path("loadLimit"))
                : "none, or another instance assigns it";
    }

    private static String candidate(JsonNode candidate) {
        return "    " + candidate.path("upstream").asText() + " in "
                + candidate.path("domain").asText() + ", "
                + candidate.path("version").asText() + ": "
                + candidate.path("own").asInt() + " own requests, failure rate "
                + number(candidate.path("failureRate"))
                + (candidate.path("cold").asBoolean() ? ", cold" : "")
                + (candidate.has("excluded")
                        ? ", left out: " + candidate.path("excluded").asText()
                        : "");
    }

    private static String number(JsonNode value) {
        return String.format(Locale.ROOT, "%.1f", value.asDouble());
    }
}
