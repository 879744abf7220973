package org.cuminspur.publish;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.cuminspur.config.ConfigDocument;
import org.cuminspur.config.ConfigFault;
import org.cuminspur.config.ConfigFile;
import org.cuminspur.config.ConfigParser;
import org.cuminspur.id.Revision;
import org.cuminspur.internal.config.ConfigStoreCodec;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreKeys;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.TxnResult;

/**
 * Commits operators' files as one numbered revision.
 *
 * <p>Run once by {@link #start}. Publications of different files merge; one whose files another has changed meanwhile
 * ends in a conflict. A lost reply is resolved by reading the publication id kept under the revision that the write
 * would have made, also after later publications. Not thread-safe, but replies of the store and the timer may come on
 * any thread, since only one call is open at a time.
 */
public final class Publisher {
    private final Store store;
    private final String publicationId;
    private final Map<String, String> changes;
    private final Set<String> removals;
    private final Backoff backoff;
    private final Consumer<PublishResult> onResult;
    private final TreeSet<Revision> unconfirmed = new TreeSet<>();
    private ConfigDocument firstRead;

    /**
     * Prepares a publication.
     *
     * @param publicationId id that no other publication has
     * @param changes file name to new text
     * @param removals names of files to remove
     * @param backoff when to retry, and for how long
     * @param onResult receives the result, once
     */
    public Publisher(
            Store store,
            String publicationId,
            Map<String, String> changes,
            Set<String> removals,
            Backoff backoff,
            Consumer<PublishResult> onResult) {
        this.store = store;
        this.publicationId = publicationId;
        this.changes = Map.copyOf(changes);
        this.removals = Set.copyOf(removals);
        this.backoff = backoff;
        this.onResult = onResult;
    }

    /** Starts the publication. */
    public void start() {
        store.range(StoreKeys.CONFIG_PREFIX, this::onRead);
    }

    private void onRead(Either<StoreFault, StoreView> reply) {
        if (reply.isLeft()) {
            backoff.retryAfterFault(this::start, this::reportStoreUnavailable);
            return;
        }
        ConfigDocument current = ConfigStoreCodec.read(reply.get());
        firstRead = firstRead == null ? current : firstRead;
        if (current.publicationId().equals(publicationId)) {
            onResult.accept(new PublishResult.Published(current.revision()));
        } else if (!unconfirmed.isEmpty() && !unconfirmed.first().isNewerThan(current.revision())) {
            resolveUnconfirmed(unconfirmed.first(), current.revision());
        } else {
            validateAndCommit(current, reply.get().modRevision(StoreKeys.CONFIG_HEAD));
        }
    }

    /** Finds out whether an earlier write of this publication, whose reply was lost, made a revision. */
    private void resolveUnconfirmed(Revision revision, Revision current) {
        store.range(StoreKeys.publication(revision), reply -> {
            if (reply.isLeft()) {
                backoff.retryAfterFault(this::start, this::reportStoreUnavailable);
            } else if (reply.get().entries().stream()
                    .anyMatch(entry -> entry.value().equals(publicationId))) {
                onResult.accept(new PublishResult.Published(revision));
            } else if (current.value() - revision.value() >= StoreKeys.RETAINED_PUBLICATIONS) {
                reportStoreUnavailable();
            } else {
                unconfirmed.remove(revision);
                start();
            }
        });
    }

    private void validateAndCommit(ConfigDocument current, StoreRevision headModRevision) {
        List<String> conflicts = conflictingFiles(current);
        if (!conflicts.isEmpty()) {
            onResult.accept(new PublishResult.Conflict(current.revision(), current.publicationId(), conflicts));
            return;
        }
        ConfigDocument next = nextDocument(current);
        if (next.files().equals(current.files())) {
            onResult.accept(new PublishResult.Unchanged(current.revision()));
            return;
        }
        List<ConfigFault> faults = PublishLimits.check(next.texts());
        Either<List<ConfigFault>, ?> checked =
                faults.isEmpty() ? ConfigParser.parse(next.texts()) : Either.left(faults);
        if (checked.isLeft()) {
            onResult.accept(new PublishResult.Invalid(checked.getLeft()));
            return;
        }
        store.commit(
                ConfigStoreCodec.replacementTxn(current, next, headModRevision),
                reply -> onCommitReply(reply, next.revision()));
    }

    private void onCommitReply(Either<StoreFault, TxnResult> reply, Revision revision) {
        if (reply.isRight() && reply.get().succeeded()) {
            onResult.accept(new PublishResult.Published(revision));
        } else if (reply.isRight()) {
            backoff.retryAfterConflict(this::start, this::reportStoreUnavailable);
        } else {
            if (reply.getLeft() == StoreFault.UNKNOWN) {
                unconfirmed.add(revision);
            }
            backoff.retryAfterFault(this::start, this::reportStoreUnavailable);
        }
    }

    private void reportStoreUnavailable() {
        onResult.accept(new PublishResult.StoreUnavailable(!unconfirmed.isEmpty()));
    }

    private List<String> conflictingFiles(ConfigDocument current) {
        return Stream.concat(changes.keySet().stream(), removals.stream())
                .filter(name -> !Objects.equals(
                        firstRead.files().get(name), current.files().get(name)))
                .filter(name -> !Objects.equals(changes.get(name), textOf(current, name)))
                .sorted()
                .toList();
    }

    private static String textOf(ConfigDocument document, String name) {
        ConfigFile file = document.files().get(name);
        return file == null ? null : file.text();
    }

    private ConfigDocument nextDocument(ConfigDocument current) {
        Revision revision = current.revision().next();
        Map<String, ConfigFile> files = new HashMap<>(current.files());
        files.keySet().removeAll(removals);
        changes.forEach((name, text) -> files.merge(
                name, new ConfigFile(revision, text), (old, fresh) -> old.text().equals(text) ? old : fresh));
        return new ConfigDocument(revision, publicationId, files);
    }
}
