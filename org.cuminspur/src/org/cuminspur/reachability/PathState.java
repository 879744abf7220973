package org.cuminspur.reachability;

import java.util.Locale;

/** What an instance believes of its own path to the upstreams of a service. */
public enum PathState {
    /** New connections are made, or none has failed. */
    REACHABLE,
    /** Most connections fail, and it is not known whether the upstreams are down or this instance is cut off from them. */
    DOUBTFUL,
    /** Most connections fail to upstreams that other instances reach. */
    CUT_OFF,
    /** Connections are made again; requests return to this path gradually. */
    RETURNING;

    /** Returns the name used in logs, such as {@code cut-off}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
