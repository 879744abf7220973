package org.cuminspur.internal.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminspur.config.ConfigDocument;
import org.cuminspur.config.ConfigFile;
import org.cuminspur.id.Revision;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreKeys;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;

/**
 * Maps a configuration document to keys of the store and back; stateless and thread-safe.
 *
 * <p>The head key holds the revision, the publication id and the revision of each file; each file has a key of its own.
 * A document is written in one transaction conditional on the head, so that a reader of one store revision always
 * finds the files that its head names. The same transaction keeps the publication's id under a key of its revision,
 * so that a publisher can recognise its own after later ones.
 */
public final class ConfigStoreCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    private record Head(long revision, String publication, Map<String, Long> files) {}

    private ConfigStoreCodec() {}

    /**
     * Returns the document in a view of {@link StoreKeys#CONFIG_PREFIX}.
     *
     * @throws IllegalStateException if the view does not hold the files that its head names
     */
    public static ConfigDocument read(StoreView view) {
        return view.entry(StoreKeys.CONFIG_HEAD)
                .map(head -> toDocument(head, view))
                .orElse(ConfigDocument.EMPTY);
    }

    /** Returns the revision that the head in a view names, or {@link Revision#NONE} if it holds no head. */
    public static Revision headRevision(StoreView view) {
        return view.entry(StoreKeys.CONFIG_HEAD)
                .map(entry -> new Revision(parseHead(entry.value()).revision()))
                .orElse(Revision.NONE);
    }

    /**
     * Returns the document after one transaction of a watch, or empty if it misses files that {@code current} lacks.
     *
     * @param changes keys that the transaction wrote, its head among them
     */
    public static Optional<ConfigDocument> applyChanges(ConfigDocument current, StoreView changes) {
        Head head = changes.entry(StoreKeys.CONFIG_HEAD)
                .map(entry -> parseHead(entry.value()))
                .orElseThrow();
        Map<String, ConfigFile> files = new HashMap<>();
        head.files().forEach((name, number) -> {
            Revision revision = new Revision(number);
            ConfigFile old = current.files().get(name);
            if (old != null && old.revision().equals(revision)) {
                files.put(name, old);
            } else if (number == head.revision()) {
                changes.entry(StoreKeys.CONFIG_FILE_PREFIX + name)
                        .ifPresent(entry -> files.put(name, new ConfigFile(revision, entry.value())));
            }
        });
        return files.size() < head.files().size()
                ? Optional.empty()
                : Optional.of(new ConfigDocument(new Revision(head.revision()), head.publication(), files));
    }

    /** Returns the transaction that replaces {@code base} if the head is still at {@code headModRevision}. */
    public static Txn replacementTxn(ConfigDocument base, ConfigDocument next, StoreRevision headModRevision) {
        Map<String, Long> revisions = new TreeMap<>();
        next.files().forEach((name, file) -> revisions.put(name, file.revision().value()));
        List<Txn.Put> puts = new ArrayList<>();
        puts.add(Txn.Put.of(
                StoreKeys.CONFIG_HEAD, toJson(new Head(next.revision().value(), next.publicationId(), revisions))));
        puts.add(Txn.Put.of(StoreKeys.publication(next.revision()), next.publicationId()));
        next.files().entrySet().stream()
                .filter(entry -> !entry.getValue().equals(base.files().get(entry.getKey())))
                .map(entry -> Txn.Put.of(
                        StoreKeys.CONFIG_FILE_PREFIX + entry.getKey(),
                        entry.getValue().text()))
                .forEach(puts::add);
        List<String> deletes = base.files().keySet().stream()
                .filter(name -> !next.files().containsKey(name))
                .map(name -> StoreKeys.CONFIG_FILE_PREFIX + name)
                .toList();
        return new Txn(List.of(new Txn.Compare(StoreKeys.CONFIG_HEAD, headModRevision)), puts, deletes);
    }

    private static ConfigDocument toDocument(StoreEntry headEntry, StoreView view) {
        Head head = parseHead(headEntry.value());
        Map<String, ConfigFile> files = new HashMap<>();
        head.files().forEach((name, revision) -> files.put(name, toFile(view, name, revision)));
        return new ConfigDocument(new Revision(head.revision()), head.publication(), files);
    }

    private static ConfigFile toFile(StoreView view, String name, long revision) {
        return view.entry(StoreKeys.CONFIG_FILE_PREFIX + name)
                .map(entry -> new ConfigFile(new Revision(revision), entry.value()))
                .orElseThrow(() -> new IllegalStateException("the store's head names a missing file: " + name));
    }

    private static Head parseHead(String json) {
        try {
            return JSON.readValue(json, Head.class);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the store's configuration head is malformed", e);
        }
    }

    private static String toJson(Head head) {
        try {
            return JSON.writeValueAsString(head);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
