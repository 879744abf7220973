package org.cuminspur.router;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.cuminspur.config.ConfigFault;
import org.cuminspur.config.ConfigParser;
import org.cuminspur.pgm.internal.OperatorSettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that docs/SETTINGS.md agrees with the keys, defaults and bounds of the parsers. */
public class SettingsPageTest {
    private static final Pattern KNOWN_KEYS = Pattern.compile("known are \\[(.*)]");
    private static final String HASH = "0".repeat(64);
    private static final Map<String, String> REQUIRED = Map.ofEntries(
            Map.entry("operators", "key = 0123456789abcdef"),
            Map.entry("peers", "key = 0123456789abcdef"),
            Map.entry("operator", "key = 0123456789abcdef"),
            Map.entry("router", "name = a\ndomain = b"),
            Map.entry("route", "service = s\npath = /"),
            Map.entry("account", "key-sha256 = " + HASH),
            Map.entry("domain", "region = r"),
            Map.entry("instance", "name = a\ndomain = b"),
            Map.entry("listen", "callers = 10.0.0.1:1\nreadiness = 10.0.0.1:2"),
            Map.entry("store", "address = 10.0.0.1:3"));
    private static final List<String> ROUTER_SECTIONS = List.of("router", "operators", "peers");
    private static final List<String> INSTANCE_SECTIONS = List.of("instance", "listen", "store", "bounds");

    private record Row(String key, String defaultValue, String minimum, String maximum) {}

    @DataProvider
    public Iterator<Object[]> sections() throws IOException {
        return sectionTexts().map(text -> new Object[] {kind(text), rows(text)}).iterator();
    }

    @Test(dataProvider = "sections")
    public void pageListsEveryKey(String kind, List<Row> rows) {
        List<ConfigFault> faults = faults(kind, "no-such-key", "1");
        Matcher known = faults.stream()
                .map(fault -> KNOWN_KEYS.matcher(fault.message()))
                .filter(Matcher::find)
                .findFirst()
                .orElseThrow();
        assertEquals(
                new TreeSet<>(rows.stream().map(Row::key).toList()),
                new TreeSet<>(Arrays.asList(known.group(1).split(", "))));
    }

    @Test(dataProvider = "sections")
    public void defaultsAndBoundsAreAccepted(String kind, List<Row> rows) {
        rows.forEach(row -> Stream.of(row.defaultValue(), row.minimum(), row.maximum())
                .filter(value -> !value.equals("-") && !value.isEmpty())
                .forEach(value -> assertEquals(faults(kind, row.key(), value), List.of(), row + " " + value)));
    }

    @Test(dataProvider = "sections")
    public void valuesOutOfBoundsAreRejected(String kind, List<Row> rows) {
        rows.stream().filter(row -> !row.maximum().equals("-")).forEach(row -> {
            assertFalse(faults(kind, row.key(), "9" + row.maximum()).isEmpty(), row.toString());
            assertFalse(faults(kind, row.key(), "-1" + row.minimum()).isEmpty(), row.toString());
        });
    }

    @Test
    public void exampleSettingsHaveNoFault() throws IOException {
        Path examples = Path.of("..", "examples");
        String router = Files.readString(examples.resolve("router.ini"));
        assertTrue(RouterSettingsParser.parse("router.ini", router).isRight());
        assertTrue(OperatorSettings.read(examples.resolve("operator.ini")).isRight());
    }

    private static List<ConfigFault> faults(String kind, String key, String value) {
        Function<String, List<ConfigFault>> parse = switch (kind) {
            case "operator" ->
                text -> OperatorSettings.parse("f", text).fold(Function.identity(), settings -> List.of());
            case "service", "route", "account", "domain" ->
                text -> ConfigParser.parse(Map.of("f", text)).fold(Function.identity(), config -> List.of());
            case "instance", "listen", "store", "bounds" ->
                text -> TrafficSettingsParser.parse("f", text).fold(Function.identity(), settings -> List.of());
            default -> text -> RouterSettingsParser.parse("f", text).fold(Function.identity(), settings -> List.of());
        };
        return parse.apply(text(kind, key, value));
    }

    private static String text(String kind, String key, String value) {
        boolean named = List.of("service", "route", "account", "domain").contains(kind);
        StringBuilder text = new StringBuilder();
        if (named) {
            section(text, "service s", "", kind.equals("service") ? key + " = " + value : "");
            if (!kind.equals("service")) {
                section(text, kind + " n", without(REQUIRED.get(kind), key), key + " = " + value);
            }
        } else if (kind.equals("operator")) {
            section(text, kind, without(REQUIRED.get(kind), key), key + " = " + value);
        } else {
            Stream.concat(
                            (INSTANCE_SECTIONS.contains(kind) ? INSTANCE_SECTIONS : ROUTER_SECTIONS).stream(),
                            Stream.of(kind))
                    .distinct()
                    .forEach(section -> section(
                            text,
                            section,
                            without(REQUIRED.getOrDefault(section, ""), section.equals(kind) ? key : ""),
                            section.equals(kind) ? key + " = " + value : ""));
        }
        return text.toString();
    }

    private static void section(StringBuilder text, String heading, String required, String line) {
        text.append('[')
                .append(heading)
                .append("]\n")
                .append(required)
                .append('\n')
                .append(line)
                .append('\n');
    }

    private static String without(String lines, String key) {
        return String.join(
                "\n", lines.lines().filter(line -> !line.startsWith(key + " =")).toList());
    }

    private static Stream<String> sectionTexts() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "SETTINGS.md"));
        return Arrays.stream(page.split("\n### \\[")).skip(1);
    }

    private static String kind(String section) {
        return section.split("[ \\]]", 2)[0];
    }

    private static List<Row> rows(String section) {
        return section.lines()
                .filter(line -> line.startsWith("| ") && !line.startsWith("| key | default"))
                .map(line -> line.split("\\|"))
                .map(cells -> new Row(cells[1].strip(), cells[2].strip(), cells[3].strip(), cells[4].strip()))
                .toList();
    }
}
