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
 * Keeps the newest published configuration in force, as received from store watches, store reads and peers.
 *
 * <p>Used on the control thread only. A revision lower than the one in force is never applied, wherever it comes from.
 * At most one request to a peer and one read of the whole configuration are open at a time.
 */
public final class ConfigSystem implements ControlSystem {
    private static final long REQUEST_TIMEOUT_MS = 300;
    private static final long READ_TIMEOUT_MS = 1_000;

    /** A peer that holds a newer revision, to be asked again if its reply is lost. */
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
        handlers.onPeerMessage(ConfigRequest.class, (from, request, step) -> sendDelta(from, request.have(), step));
        handlers.onPeerMessage(ConfigDelta.class, this::onConfigDelta);
    }

    @Override
    public void tick(ControlStep step) {
        boolean unanswered = newerPeer != null && step.now() >= requestDeadlineMillis;
        if (unanswered && isNewer(newerPeer.revision())) {
            requestConfig(newerPeer.peer(), state.configDocument().revision(), step);
        } else if (unanswered) {
            newerPeer = null;
        }
    }

    private void onStoreRead(ControlInput.StoreRead input, ControlStep step) {
        if (input.prefix().equals(StoreKeys.CURRENT_PREFIX)) {
            input.reply()
                    .toOption()
                    .flatMap(view -> readHead(view, step))
                    .filter(this::isNewer)
                    .forEach(revision -> readStore(step));
        } else if (input.prefix().equals(StoreKeys.CONFIG_PREFIX)) {
            readDeadlineMillis = Long.MIN_VALUE;
            input.reply()
                    .forEach(view -> Try.of(() -> ConfigStoreCodec.read(view))
                            .onFailure(fault -> step.reportChange("store-malformed", fault.getMessage()))
                            .forEach(document -> apply(document, "store", step)));
        }
    }

    private static Option<Revision> readHead(StoreView view, ControlStep step) {
        return Try.of(() -> ConfigStoreCodec.headRevision(view))
                .onFailure(fault -> step.reportChange("store-malformed", fault.getMessage()))
                .toOption();
    }

    private void onStoreChanged(ControlInput.StoreChanged input, ControlStep step) {
        input.changes().entries().stream()
                .collect(Collectors.groupingBy(StoreEntry::modRevision, TreeMap::new, Collectors.toList()))
                .forEach((revision, entries) -> applyTransaction(new StoreView(revision, entries), step));
    }

    private void applyTransaction(StoreView changes, ControlStep step) {
        if (changes.entry(StoreKeys.CONFIG_HEAD).isEmpty()
                || !readHead(changes, step).exists(this::isNewer)) {
            return;
        }
        Optional<ConfigDocument> next = ConfigStoreCodec.applyChanges(state.configDocument(), changes);
        next.ifPresentOrElse(document -> apply(document, "watch", step), () -> readStore(step));
    }

    private boolean isNewer(Revision revision) {
        return revision.isNewerThan(state.configDocument().revision()) && revision.isNewerThan(rejectedRevision);
    }

    private void readStore(ControlStep step) {
        if (step.now() >= readDeadlineMillis) {
            readDeadlineMillis = step.now() + READ_TIMEOUT_MS;
            step.outputs().accept(new ControlOutput.ReadStore(StoreKeys.CONFIG_PREFIX));
        }
    }

    private void onDigest(InstanceId from, Digest digest, ControlStep step) {
        if (!isNewer(digest.config())) {
            return;
        }
        if (step.now() >= requestDeadlineMillis) {
            requestConfig(from, state.configDocument().revision(), step);
        }
        newerPeer = new NewerPeer(from, digest.config());
    }

    private void requestConfig(InstanceId from, Revision have, ControlStep step) {
        requestDeadlineMillis = step.now() + REQUEST_TIMEOUT_MS;
        step.send(from, new ConfigRequest(have));
    }

    private void sendDelta(InstanceId to, Revision have, ControlStep step) {
        if (state.configDocument().revision().isNewerThan(have)) {
            step.send(to, deltas.deltaSince(have, state.configDocument()));
        }
    }

    private void onConfigDelta(InstanceId from, ConfigDelta delta, ControlStep step) {
        if (!isNewer(delta.revision())) {
            return;
        }
        Optional<ConfigDocument> next = ConfigDeltas.apply(state.configDocument(), delta);
        if (next.isPresent()) {
            requestDeadlineMillis = Long.MIN_VALUE;
            apply(next.get(), from.value(), step);
        } else if (!delta.base().equals(Revision.NONE)) {
            requestConfig(from, Revision.NONE, step);
        }
    }

    private void apply(ConfigDocument document, String source, ControlStep step) {
        if (!isNewer(document.revision())) {
            return;
        }
        ConfigDocument old = state.configDocument();
        Either<List<ConfigFault>, FleetConfig> parsed = ConfigParser.parse(document.texts());
        if (parsed.isLeft()) {
            rejectedRevision = document.revision();
            step.reportChange("revision-rejected", document.revision() + ": " + parsed.getLeft());
            return;
        }
        state.applyConfig(document, parsed.get());
        deltas.recordReplacement(old, document);
        step.reportChange("revision-applied", document.revision() + " from " + source);
    }
}
