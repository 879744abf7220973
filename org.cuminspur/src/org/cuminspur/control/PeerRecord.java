package org.cuminspur.control;

import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.Revision;

/** State of another router, as known to this one; used on the control thread only. */
public final class PeerRecord {
    private final InstanceId id;
    private ListedInstance listed;
    private long lastHeardMillis = Long.MIN_VALUE;
    private Revision configRevision = Revision.NONE;
    private boolean stopping;
    private long unresponsiveUntilMillis = Long.MIN_VALUE;

    PeerRecord(ListedInstance listed) {
        this.id = new InstanceId(listed.name());
        this.listed = listed;
    }

    public InstanceId id() {
        return id;
    }

    /** Returns the peer's entry in the platform's list. */
    public ListedInstance listed() {
        return listed;
    }

    public FailureDomainId domain() {
        return listed.domain();
    }

    /** Returns when a digest of the peer last arrived, or {@link Long#MIN_VALUE} if never. */
    public long lastHeardMillis() {
        return lastHeardMillis;
    }

    /** Returns the newest revision that the peer reported. */
    public Revision configRevision() {
        return configRevision;
    }

    /** Returns whether the peer reported that it is stopping. */
    public boolean stopping() {
        return stopping;
    }

    /** Returns whether messages are worth sending to the peer: it responds and is not stopping. */
    public boolean live(long now) {
        return !stopping && now >= unresponsiveUntilMillis;
    }

    /** Marks the peer as unresponsive; it counts as live again from {@code untilMillis}. */
    public void markUnresponsive(long untilMillis) {
        unresponsiveUntilMillis = untilMillis;
    }

    void listed(ListedInstance instance) {
        this.listed = instance;
    }

    /** Records what the peer reported about itself. */
    public void recordDigest(long now, Revision revision, boolean isStopping) {
        lastHeardMillis = now;
        configRevision = revision.isNewerThan(configRevision) ? revision : configRevision;
        stopping = isStopping;
        unresponsiveUntilMillis = Long.MIN_VALUE;
    }
}
