package org.cuminspur.control.system;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.cuminspur.config.ConfigDocument;
import org.cuminspur.config.ConfigFault;
import org.cuminspur.config.ConfigFile;
import org.cuminspur.config.ConfigParser;
import org.cuminspur.config.FleetConfig;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ControlOutput;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.Tables;
import org.cuminspur.control.Turn;
import org.cuminspur.control.message.PeerMessage.ConfigDelta;
import org.cuminspur.control.message.PeerMessage.ConfigRequest;
import org.cuminspur.control.message.PeerMessage.Digest;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.Revision;
import org.cuminspur.internal.config.ConfigStoreCodec;
import org.cuminspur.store.StoreKeys;

/**
 * Keeps the newest published configuration in force.
 *
 * <p>Used on the control thread only. A revision lower than the one in force is never applied, wherever it comes from.
 */
public final class ConfigSystem implements ControlSystem {
    private static final long READ_INTERVAL_MS = 1_000;

    private final Tables tables;
    private long nextReadMillis = Long.MIN_VALUE;

    public ConfigSystem(Tables tables) {
        this.tables = tables;
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.on(ControlInput.StoreRead.class, this::storeRead);
        handlers.onPeer(Digest.class, this::digest);
        handlers.onPeer(ConfigRequest.class, (from, request, turn) -> answer(from, request.have(), turn));
        handlers.onPeer(ConfigDelta.class, this::delta);
    }

    @Override
    public void tick(Turn turn) {
        if (turn.now() >= nextReadMillis) {
            nextReadMillis = turn.now() + READ_INTERVAL_MS;
            turn.out().accept(new ControlOutput.ReadStore(StoreKeys.CONFIG));
        }
    }

    private void storeRead(ControlInput.StoreRead input, Turn turn) {
        if (input.prefix().equals(StoreKeys.CONFIG)) {
            input.reply().map(ConfigStoreCodec::read).forEach(document -> apply(document, "store", turn));
        }
    }

    private void digest(InstanceId from, Digest digest, Turn turn) {
        Revision held = tables.document().revision();
        if (digest.config().after(held)) {
            turn.send(from, new ConfigRequest(held));
        } else if (held.after(digest.config())) {
            answer(from, digest.config(), turn);
        }
    }

    private void answer(InstanceId to, Revision have, Turn turn) {
        ConfigDocument document = tables.document();
        if (!document.revision().after(have)) {
            return;
        }
        Map<String, ConfigFile> changed = document.files().entrySet().stream()
                .filter(entry -> entry.getValue().revision().after(have))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        List<String> kept = document.files().keySet().stream().sorted().toList();
        turn.send(to, new ConfigDelta(have, document.revision(), document.publication(), changed, kept));
    }

    private void delta(InstanceId from, ConfigDelta delta, Turn turn) {
        ConfigDocument held = tables.document();
        if (!delta.revision().after(held.revision()) || delta.base().after(held.revision())) {
            return;
        }
        Map<String, ConfigFile> files = new HashMap<>(held.files());
        files.keySet().retainAll(delta.kept());
        files.putAll(delta.changed());
        apply(new ConfigDocument(delta.revision(), delta.publication(), files), from.value(), turn);
    }

    private void apply(ConfigDocument document, String source, Turn turn) {
        if (!document.revision().after(tables.document().revision())) {
            return;
        }
        Either<List<ConfigFault>, FleetConfig> parsed = ConfigParser.parse(document.texts());
        parsed.peek(config -> tables.apply(document, config));
        parsed.peek(config -> turn.changed("revision-applied", document.revision() + " from " + source));
        parsed.peekLeft(faults -> turn.changed("revision-rejected", document.revision() + ": " + faults));
    }
}
