package org.cuminspur.control;

import java.util.function.Consumer;
import org.cuminspur.control.message.PeerMessage;
import org.cuminspur.id.InstanceId;

/**
 * One step of the control core: its time and its consumer of outputs.
 *
 * <p>Used on the control thread only.
 *
 * @param now time in milliseconds, the same throughout the step
 * @param outputs receives the outputs in order
 */
public record ControlStep(long now, Consumer<ControlOutput> outputs) {
    /** Sends a message to another router. */
    public void send(InstanceId to, PeerMessage message) {
        outputs.accept(new ControlOutput.SendPeerMessage(to, message));
    }

    /** Reports a state change for the log. */
    public void reportChange(String event, String detail) {
        outputs.accept(new ControlOutput.StateChanged(event, detail));
    }
}
