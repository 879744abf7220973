package org.cuminspur.control.system;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cuminspur.config.ConfigDocument;
import org.cuminspur.config.ConfigFault;
import org.cuminspur.config.ConfigParser;
import org.cuminspur.config.FleetConfig;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ControlOutput;
import org.cuminspur.control.ControlState;
import org.cuminspur.control.ControlStep;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.message.PeerMessage.ConfigDelta;
import org.cuminspur.control.message.PeerMessage.ConfigRequest;
import org.cuminspur.control.message.PeerMessage.Digest;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.Revision;
import org.cuminspur.internal.config.ConfigDeltas;
import org.cuminspur.internal.config.ConfigStoreCodec;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreKeys;
import org.cuminspur.store.StoreView;

/**
 * Keeps the newest published configuration in force, as the store's watch, its reads and the peers tell it.
 *
 * <p>Used on the control thread only. A revision lower than the one in force is never applied, wherever it comes from.
 * At most one request to a peer and one read of the whole configuration are open at a time.
 */
public final class ConfigSystem implements ControlSystem {
    private static final long REQUEST_TIMEOUT_MS = 300;
    private static final long READ_TIMEOUT_MS = 1_000;

    /** A peer that holds a newer revision, to be asked again if the answer is lost. */
    private record NewerPeer(InstanceId peer, Revision revision) {}

    private final ControlState state;
    private final ConfigDeltas deltas = new ConfigDeltas();
    private Revision rejectedRevision = Revision.NONE;
    private NewerPeer newerPeer;
    private long requestDeadlineMillis = Long.MIN_VALUE;
    private long readDeadlineMillis = Long.MIN_VALUE;

    public ConfigSystem(ControlState state) {
        this.state = state;
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.on(ControlInput.StoreRead.class, this::onStoreRead);
        handlers.on(ControlInput.StoreChanged.class, this::onStoreChanged);
        handlers.onPeerMessage(Digest.class, this::onDigest);
        handlers.onPeerMessage(ConfigRequest.class, (from, request, turn) -> sendDelta(from, request.have(), turn));
        handlers.onPeerMessage(ConfigDelta.class, this::onConfigDelta);
    }

    @Override
    public void tick(ControlStep turn) {
        boolean unanswered = newerPeer != null && turn.now() >= requestDeadlineMillis;
        if (unanswered && isNewer(newerPeer.revision())) {
            requestConfig(newerPeer.peer(), state.configDocument().revision(), turn);
        } else if (unanswered) {
            newerPeer = null;
        }
    }

    private void onStoreRead(ControlInput.StoreRead input, ControlStep turn) {
        if (input.prefix().equals(StoreKeys.CURRENT_PREFIX)) {
            input.reply()
                    .toOption()
                    .flatMap(view -> readHead(view, turn))
                    .filter(this::isNewer)
                    .forEach(revision -> readStore(turn));
        } else if (input.prefix().equals(StoreKeys.CONFIG_PREFIX)) {
            readDeadlineMillis = Long.MIN_VALUE;
            input.reply()
                    .forEach(view -> Try.of(() -> ConfigStoreCodec.read(view))
                            .onFailure(fault -> turn.reportChange("store-malformed", fault.getMessage()))
                            .forEach(document -> apply(document, "store", turn)));
        }
    }

    private static Option<Revision> readHead(StoreView view, ControlStep turn) {
        return Try.of(() -> ConfigStoreCodec.headRevision(view))
                .onFailure(fault -> turn.reportChange("store-malformed", fault.getMessage()))
                .toOption();
    }

    private void onStoreChanged(ControlInput.StoreChanged input, ControlStep turn) {
        input.changes().entries().stream()
                .collect(Collectors.groupingBy(StoreEntry::modRevision, TreeMap::new, Collectors.toList()))
                .forEach((revision, entries) -> applyTransaction(new StoreView(revision, entries), turn));
    }

    private void applyTransaction(StoreView changes, ControlStep turn) {
        if (changes.entry(StoreKeys.CONFIG_HEAD).isEmpty()
                || !readHead(changes, turn).exists(this::isNewer)) {
            return;
        }
        Optional<ConfigDocument> next = ConfigStoreCodec.applyChanges(state.configDocument(), changes);
        next.ifPresentOrElse(document -> apply(document, "watch", turn), () -> readStore(turn));
    }

    private boolean isNewer(Revision revision) {
        return revision.isNewerThan(state.configDocument().revision()) && revision.isNewerThan(rejectedRevision);
    }

    private void readStore(ControlStep turn) {
        if (turn.now() >= readDeadlineMillis) {
            readDeadlineMillis = turn.now() + READ_TIMEOUT_MS;
            turn.outputs().accept(new ControlOutput.ReadStore(StoreKeys.CONFIG_PREFIX));
        }
    }

    private void onDigest(InstanceId from, Digest digest, ControlStep turn) {
        if (!isNewer(digest.config())) {
            return;
        }
        if (turn.now() >= requestDeadlineMillis) {
            requestConfig(from, state.configDocument().revision(), turn);
        }
        newerPeer = new NewerPeer(from, digest.config());
    }

    private void requestConfig(InstanceId from, Revision have, ControlStep turn) {
        requestDeadlineMillis = turn.now() + REQUEST_TIMEOUT_MS;
        turn.send(from, new ConfigRequest(have));
    }

    private void sendDelta(InstanceId to, Revision have, ControlStep turn) {
        if (state.configDocument().revision().isNewerThan(have)) {
            turn.send(to, deltas.deltaSince(have, state.configDocument()));
        }
    }

    private void onConfigDelta(InstanceId from, ConfigDelta delta, ControlStep turn) {
        if (!isNewer(delta.revision())) {
            return;
        }
        Optional<ConfigDocument> next = ConfigDeltas.apply(state.configDocument(), delta);
        if (next.isPresent()) {
            requestDeadlineMillis = Long.MIN_VALUE;
            apply(next.get(), from.value(), turn);
        } else if (!delta.base().equals(Revision.NONE)) {
            requestConfig(from, Revision.NONE, turn);
        }
    }

    private void apply(ConfigDocument document, String source, ControlStep turn) {
        if (!isNewer(document.revision())) {
            return;
        }
        ConfigDocument old = state.configDocument();
        Either<List<ConfigFault>, FleetConfig> parsed = ConfigParser.parse(document.texts());
        if (parsed.isLeft()) {
            rejectedRevision = document.revision();
            turn.reportChange("revision-rejected", document.revision() + ": " + parsed.getLeft());
            return;
        }
        state.applyConfig(document, parsed.get());
        deltas.recordReplacement(old, document);
        turn.reportChange("revision-applied", document.revision() + " from " + source);
    }
}
