package org.cuminspur.pgm.internal;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.cuminspur.config.ConfigFault;

/**
 * Collects the service files beside each service's code; stateless and thread-safe.
 *
 * <p>A published file is known by its name without folders, which therefore must be unique.
 */
public final class SourceFiles {
    private static final String SUFFIX = ".cuminspur.ini";

    private SourceFiles() {}

    /** Returns file name to text of all {@code *.cuminspur.ini} files under the directories, or all faults found. */
    public static Either<List<ConfigFault>, Map<String, String>> collect(List<String> directories) {
        List<ConfigFault> faults = new ArrayList<>();
        Map<String, Path> paths = new HashMap<>();
        Map<String, String> texts = new TreeMap<>();
        for (String directory : directories) {
            find(Path.of(directory), faults).forEach(path -> add(path, paths, texts, faults));
        }
        if (faults.isEmpty() && texts.isEmpty()) {
            faults.add(new ConfigFault(String.join(" ", directories), 0, "files", "no file ends in " + SUFFIX));
        }
        return faults.isEmpty() ? Either.right(texts) : Either.left(faults);
    }

    private static List<Path> find(Path directory, List<ConfigFault> faults) {
        try (Stream<Path> files = Files.walk(directory)) {
            return files.filter(path -> path.getFileName().toString().endsWith(SUFFIX))
                    .sorted()
                    .toList();
        } catch (IOException | UncheckedIOException e) {
            faults.add(new ConfigFault(directory.toString(), 0, "files", "cannot be read"));
            return List.of();
        }
    }

    private static void add(Path path, Map<String, Path> paths, Map<String, String> texts, List<ConfigFault> faults) {
        String name = path.getFileName().toString();
        Path first = paths.putIfAbsent(name, path);
        if (first != null) {
            faults.add(new ConfigFault(path.toString(), 0, "file name", "stands already at " + first));
            return;
        }
        try {
            texts.put(name, Files.readString(path));
        } catch (IOException e) {
            faults.add(new ConfigFault(path.toString(), 0, "file", "cannot be read as UTF-8 text"));
        }
    }
}
