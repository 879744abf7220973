package org.cuminspur.config;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cuminspur.id.Revision;

/**
 * A published revision with its files, as stored and as passed between routers; immutable.
 *
 * @param publicationId unique id by which its publisher recognises it after a lost reply
 * @param files file name to file; no file is newer than the document
 */
public record ConfigDocument(Revision revision, String publicationId, Map<String, ConfigFile> files) {
    /** The document before the first publication. */
    public static final ConfigDocument EMPTY = new ConfigDocument(Revision.NONE, "", Map.of());

    public ConfigDocument {
        files = Map.copyOf(files);
    }

    /** Returns file name to text. */
    public Map<String, String> texts() {
        return files.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> entry.getValue().text(), (a, b) -> a, TreeMap::new));
    }
}
