package org.cuminspur.control;

import java.util.ArrayList;
import java.util.List;
import org.cuminspur.control.message.PeerMessage.UpstreamAlert;

/** Queue of alerts to send to peers; used on the control thread only. */
public final class AlertOutbox {
    private List<UpstreamAlert> pending = new ArrayList<>();

    /** Queues an alert for the next message. */
    public void add(UpstreamAlert alert) {
        pending.add(alert);
    }

    /** Removes and returns the queued alerts. */
    public List<UpstreamAlert> drain() {
        List<UpstreamAlert> drained = pending;
        pending = new ArrayList<>();
        return drained;
    }
}
