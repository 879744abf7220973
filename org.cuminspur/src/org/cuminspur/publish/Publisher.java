package org.cuminspur.publish;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
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
import org.cuminspur.store.StoreView;
import org.cuminspur.store.TxnResult;

/**
 * Commits operators' files as one numbered revision.
 *
 * <p>Run once by {@link #call}. Publications of different files merge; one that meets another's change of the same
 * file ends in a conflict. A lost reply is settled by reading back the publication id. Not thread-safe, but replies of
 * the store may come on any thread, since only one call is open at a time.
 */
public final class Publisher {
    private static final int MAX_TRIES = 64;

    private final Store store;
    private final String publication;
    private final Map<String, String> changes;
    private final Set<String> removals;
    private final Consumer<PublishResult> done;
    private ConfigDocument first;
    private boolean uncertain;
    private int tries;

    /**
     * Prepares a publication.
     *
     * @param publication id that no other publication has
     * @param changes file name to new text
     * @param removals names of files to remove
     * @param done takes the result, once
     */
    public Publisher(
            Store store,
            String publication,
            Map<String, String> changes,
            Set<String> removals,
            Consumer<PublishResult> done) {
        this.store = store;
        this.publication = publication;
        this.changes = Map.copyOf(changes);
        this.removals = Set.copyOf(removals);
        this.done = done;
    }

    /** Starts the publication. */
    public void call() {
        tries++;
        if (tries > MAX_TRIES) {
            done.accept(new PublishResult.StoreDown(uncertain));
            return;
        }
        store.range(StoreKeys.CONFIG, this::read);
    }

    private void read(Either<StoreFault, StoreView> reply) {
        if (reply.isLeft()) {
            done.accept(new PublishResult.StoreDown(uncertain));
            return;
        }
        ConfigDocument current = ConfigStoreCodec.read(reply.get());
        if (first == null) {
            first = current;
        }
        if (current.publication().equals(publication)) {
            done.accept(new PublishResult.Published(current.revision()));
            return;
        }
        List<String> raced = raced(current);
        if (!raced.isEmpty()) {
            done.accept(new PublishResult.Conflict(current.revision(), raced));
            return;
        }
        commit(current, reply.get().modRevision(StoreKeys.CONFIG_HEAD));
    }

    private void commit(ConfigDocument current, long headModRevision) {
        ConfigDocument next = next(current);
        if (next.files().equals(current.files())) {
            done.accept(new PublishResult.Unchanged(current.revision()));
            return;
        }
        Either<List<ConfigFault>, ?> checked = ConfigParser.parse(next.texts());
        if (checked.isLeft()) {
            done.accept(new PublishResult.Faulty(checked.getLeft()));
            return;
        }
        store.commit(
                ConfigStoreCodec.write(current, next, headModRevision), reply -> committed(reply, next.revision()));
    }

    private void committed(Either<StoreFault, TxnResult> reply, Revision revision) {
        if (reply.isRight() && reply.get().succeeded()) {
            done.accept(new PublishResult.Published(revision));
            return;
        }
        uncertain |= reply.isLeft() && reply.getLeft() == StoreFault.UNKNOWN;
        call();
    }

    private List<String> raced(ConfigDocument current) {
        return Stream.concat(changes.keySet().stream(), removals.stream())
                .filter(name ->
                        !Objects.equals(first.files().get(name), current.files().get(name)))
                .sorted()
                .toList();
    }

    private ConfigDocument next(ConfigDocument current) {
        Revision revision = current.revision().next();
        Map<String, ConfigFile> files = new HashMap<>(current.files());
        files.keySet().removeAll(removals);
        changes.forEach((name, text) -> files.merge(
                name, new ConfigFile(revision, text), (old, fresh) -> old.text().equals(text) ? old : fresh));
        return new ConfigDocument(revision, publication, files);
    }
}
