package org.cuminspur.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.cuminspur.control.message.PeerMessage;
import org.cuminspur.id.InstanceId;

/**
 * Dispatches each kind of input to the systems that handle it.
 *
 * <p>Filled while the core is built, then used on the control thread only.
 */
public final class InputHandlers {
    /** Handles a message from a peer. */
    @FunctionalInterface
    public interface PeerMessageHandler<M extends PeerMessage> {
        /** Handles {@code message}, sent by {@code from}. */
        void handle(InstanceId from, M message, ControlStep step);
    }

    private final Map<Class<?>, List<BiConsumer<ControlInput, ControlStep>>> byInput = new HashMap<>();
    private final Map<Class<?>, List<PeerMessageHandler<PeerMessage>>> byMessage = new HashMap<>();

    InputHandlers() {
        on(ControlInput.PeerMessageReceived.class, this::dispatchPeerMessage);
    }

    /** Adds a handler for one kind of input. */
    public <I extends ControlInput> void on(Class<I> kind, BiConsumer<I, ControlStep> handler) {
        byInput.computeIfAbsent(kind, key -> new ArrayList<>())
                .add((input, step) -> handler.accept(kind.cast(input), step));
    }

    /** Adds a handler for one kind of peer message. */
    public <M extends PeerMessage> void onPeerMessage(Class<M> kind, PeerMessageHandler<M> handler) {
        byMessage
                .computeIfAbsent(kind, key -> new ArrayList<>())
                .add((from, message, step) -> handler.handle(from, kind.cast(message), step));
    }

    void handle(ControlInput input, ControlStep step) {
        byInput.getOrDefault(input.getClass(), List.of()).forEach(handler -> handler.accept(input, step));
    }

    private void dispatchPeerMessage(ControlInput.PeerMessageReceived input, ControlStep step) {
        byMessage
                .getOrDefault(input.message().getClass(), List.of())
                .forEach(handler -> handler.handle(input.from(), input.message(), step));
    }
}
