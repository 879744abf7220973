package org.cuminspur.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinStore;

/** Keys and values of the store that no program of the platform writes; stateless. */
final class OddEntries {
    private static final int MEGABYTE = 1_000_000;
    private static final int PORT = 8_080;

    private OddEntries() {}

    /** Returns all entries, by key; keys of all kinds with values of all kinds. */
    static Map<String, String> all() {
        Map<String, String> entries = new LinkedHashMap<>();
        int number = 0;
        for (String value : values().toList()) {
            for (String prefix : prefixes()) {
                entries.put(prefix + "odd-" + number, value);
            }
            number++;
        }
        prefixes().forEach(prefix -> entries.put(prefix + " ", sound("address", "\"127.0.0.1:8080\"")));
        return entries;
    }

    /** Returns the prefixes of the keys that instances read. */
    static List<String> prefixes() {
        return List.of(
                StandinStore.SERVERS_PREFIX,
                "op/evacuate/",
                "cuminspur/instance/",
                "cuminspur/prompts/",
                "cuminspur/versions/",
                "cuminspur/streams/");
    }

    /** Returns entries of servers that name no server which could be used. */
    static Stream<String> values() {
        return Stream.of(addresses(), numbers(), others()).flatMap(list -> list);
    }

    private static Stream<String> addresses() {
        return Stream.of(
                        "a b:80",
                        "[::1:80",
                        "[:::]:80",
                        "[1::2::3]:80",
                        "%zz:80",
                        "10.0.0.1:80:90",
                        "x/y:80",
                        "user@10.0.0.1:80",
                        "no-such-host.example:80",
                        "10.0.0.1:0",
                        "10.0.0.1:-5",
                        "10.0.0.1:65536",
                        "10.0.0.1:99999999999",
                        "10.0.0.256:80",
                        ":80",
                        "10.0.0.1",
                        "10.0.0.1:",
                        " ",
                        "1".repeat(MEGABYTE) + ":80")
                .map(address -> sound("address", "\"" + address + "\""));
    }

    private static Stream<String> numbers() {
        List<String> odd = List.of(
                "-1", "1.5", "true", "null", "\"5\"", "[1]", "1e999", "18446744073709551621", "9".repeat(2_000));
        return Stream.concat(
                Stream.of("born", "slots").flatMap(field -> odd.stream().map(number -> sound(field, number))),
                Stream.of(
                        sound("born", "9223372036854775807"),
                        sound("slots", "4294967296"),
                        sound("slots", "2147483648"),
                        sound("warmup_left_ms", "1e308"),
                        sound("warmup_left_ms", "1e999"),
                        sound("warmup_left_ms", "9223372036854775807"),
                        sound("warmup_left_ms", "-1"),
                        sound("warmup_left_ms", "null")));
    }

    private static Stream<String> others() {
        String deep = "[".repeat(100_000) + "]".repeat(100_000);
        return Stream.of(
                deep,
                "{\"a\":".repeat(100_000) + "1" + "}".repeat(100_000),
                sound("zone", "[".repeat(900) + "]".repeat(900)),
                sound("state", "\"gone\""),
                sound("service", "\" \""),
                sound("service", "7"),
                sound("version", "{}"),
                sound("zone", "null"),
                "{",
                "null",
                "7",
                "\"text\"",
                "\uFFFD\u0000\uD83D",
                "x".repeat(MEGABYTE),
                ";" + ",".repeat(1_023),
                "a;" + "zzzzzzzzzzzz,".repeat(1_023));
    }

    /** Returns the sound entry of a server with one field replaced. */
    private static String sound(String field, String json) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("service", "\"model\"");
        fields.put("address", "\"127.0.0.1:" + PORT + "\"");
        fields.put("zone", "\"a\"");
        fields.put("version", "\"v1\"");
        fields.put("slots", "8");
        fields.put("state", "\"ready\"");
        fields.put("warmup_left_ms", "0");
        fields.put("seq", "1");
        fields.put("born", "1");
        fields.put(field, json);
        return fields.entrySet().stream()
                .map(entry -> "\"" + entry.getKey() + "\":" + entry.getValue())
                .collect(Collectors.joining(",", "{", "}"));
    }

    /** Returns configurations that cannot be in force. */
    static Stream<String> configs() {
        String sound = new OperatorConfigBuilder()
                .service("model", true)
                .route("/chat/", "stream", "model", 2, 6_000)
                .account("account", "key")
                .nextVersion();
        return Stream.of(
                sound.replace("\"version\":2", "\"version\":18446744073709551621"),
                sound.replace("\"version\":2", "\"version\":9223372036854775807"),
                sound.replace("\"timeout_ms\":6000", "\"timeout_ms\":1e308"),
                sound.replace("\"timeout_ms\":6000", "\"timeout_ms\":-1"),
                sound.replace("\"prefix\":\"/chat/\"", "\"prefix\":null"),
                sound.replace("\"name\":\"model\"", "\"name\":{}"),
                "[".repeat(100_000),
                "{}",
                "null");
    }
}
