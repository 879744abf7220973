package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Checks that only the platform adapter contains the platform's names, and that the adapter stays small. */
public class PlatformNamesTest {
    private static final Pattern PLATFORM_NAMES = Pattern.compile(
            "Attempt-Id|Response-Signature|Deadline-Ms|Prompt-Prefix|Token-Usage|Not-Executed|Server-Load|Server-Limit|X-Api-Key"
                    + "|Target-Instance|Request-Priority|Pin-Ms|Kv-Backup|Kv-From|kv-(?:txn|watch|range|lease|keep|key)"
                    + "|op/config|op/evacuate|warmup_left_ms|sticky_sessions|auth_exempt|max_attempts|traffic_split");
    private static final int MAX_ADAPTER_LINES = 1_200;

    @Test
    public void onlyAdapterContainsPlatformNames() throws IOException {
        List<String> found = sources()
                .filter(file -> !isInModule(file, "platform"))
                .filter(file -> !file.toString().contains("standin"))
                .filter(file -> !file.toString().contains("/tst/"))
                .filter(file -> PLATFORM_NAMES.matcher(text(file)).find())
                .map(Path::toString)
                .toList();
        assertEquals(found, List.of());
    }

    @Test
    public void adapterStaysSmall() throws IOException {
        long lines = sources()
                .filter(file -> isInModule(file, "platform"))
                .mapToLong(file -> text(file).lines().count())
                .sum();
        assertTrue(lines > 0 && lines <= MAX_ADAPTER_LINES, "lines " + lines);
    }

    private static Stream<Path> sources() throws IOException {
        return Files.walk(root())
                .filter(file -> file.toString().endsWith(".java"))
                .filter(file -> !file.toString().contains("/target/"));
    }

    private static boolean isInModule(Path file, String module) {
        return root().relativize(file).startsWith(module);
    }

    private static Path root() {
        return Path.of("").toAbsolutePath().getParent();
    }

    private static String text(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
