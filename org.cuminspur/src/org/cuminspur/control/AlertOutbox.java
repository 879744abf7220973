package org.cuminspur.control;

import java.util.ArrayList;
import java.util.List;
import org.cuminspur.control.message.PeerMessage.UpstreamAlert;

/** The alerts that this router has to tell its peers; used on the control thread only. */
public final class AlertOutbox {
    private List<UpstreamAlert> waiting = new ArrayList<>();

    /** Adds an alert to the next message. */
    public void add(UpstreamAlert alert) {
        waiting.add(alert);
    }

    /** Returns the alerts that wait, and forgets them. */
    public List<UpstreamAlert> drain() {
        List<UpstreamAlert> drained = waiting;
        waiting = new ArrayList<>();
        return drained;
    }
}
