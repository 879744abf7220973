package org.cuminspur.internal.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cuminspur.config.ConfigDocument;
import org.cuminspur.config.ConfigFile;
import org.cuminspur.control.message.PeerMessage.ConfigDelta;
import org.cuminspur.id.Revision;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Computes the difference between two revisions and applies it.
 *
 * <p>Used on one thread. Remembers which files were removed since some revision; a peer with an older revision gets
 * the whole document, so that memory stays bounded and a delta never lacks a removal.
 */
public final class ConfigDeltas {
    private static final int MAX_REMOVALS = 256;

    private final Map<String, Revision> removals = new HashMap<>();
    private Revision removalsSince = Revision.NONE;

    /** Records the removals when {@code next} replaces {@code old}. */
    public void recordReplacement(ConfigDocument old, ConfigDocument next) {
        old.files().keySet().stream()
                .filter(name -> !next.files().containsKey(name))
                .forEach(name -> removals.put(name, next.revision()));
        removals.keySet().removeAll(next.files().keySet());
        if (old.revision().equals(Revision.NONE) || removals.size() > MAX_REMOVALS) {
            removals.clear();
            removalsSince = next.revision();
        }
    }

    /** Returns what a peer that holds {@code peerRevision} lacks of {@code document}. */
    public ConfigDelta deltaSince(Revision peerRevision, ConfigDocument document) {
        Revision base = removalsSince.isNewerThan(peerRevision) ? Revision.NONE : peerRevision;
        Map<String, ConfigFile> changed = document.files().entrySet().stream()
                .filter(entry -> entry.getValue().revision().isNewerThan(base))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        List<String> removed = removals.entrySet().stream()
                .filter(entry -> !base.equals(Revision.NONE) && entry.getValue().isNewerThan(base))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        return new ConfigDelta(
                base, document.revision(), document.publicationId(), changed, removed, hash(document.files()));
    }

    /** Returns the document that a delta leads to, or empty if {@code current} is not a base for it. */
    public static Optional<ConfigDocument> apply(ConfigDocument current, ConfigDelta delta) {
        boolean isWholeDocument = delta.base().equals(Revision.NONE);
        Map<String, ConfigFile> files = isWholeDocument ? new HashMap<>() : new HashMap<>(current.files());
        files.keySet().removeAll(delta.removed());
        files.putAll(delta.changed());
        boolean complete = !delta.base().isNewerThan(current.revision()) && hash(files) == delta.files();
        return complete
                ? Optional.of(new ConfigDocument(delta.revision(), delta.publication(), files))
                : Optional.empty();
    }

    private static long hash(Map<String, ConfigFile> files) {
        return files.entrySet().stream()
                .mapToLong(entry -> Rendezvous.mix(
                        Rendezvous.hash(entry.getKey()),
                        entry.getValue().revision().value()))
                .sum();
    }
}
