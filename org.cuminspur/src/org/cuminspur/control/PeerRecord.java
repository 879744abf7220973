package org.cuminspur.control;

import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.Revision;

/** What is known of another router; used on the control thread only. */
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

    /** Returns the peer's line in the platform's list. */
    public ListedInstance listed() {
        return listed;
    }

    public FailureDomainId domain() {
        return listed.domain();
    }

    /** Returns when the peer was last heard, or {@link Long#MIN_VALUE} if never. */
    public long lastHeardMillis() {
        return lastHeardMillis;
    }

    /** Returns the newest revision that the peer said it holds. */
    public Revision configRevision() {
        return configRevision;
    }

    /** Returns whether the peer said that it is about to leave. */
    public boolean stopping() {
        return stopping;
    }

    /** Returns whether the peer is worth talking to: it answers, and is not about to leave. */
    public boolean live(long now) {
        return !stopping && now >= unresponsiveUntilMillis;
    }

    /** Notes that the peer does not answer; it is tried again after {@code untilMillis}. */
    public void markUnresponsive(long untilMillis) {
        unresponsiveUntilMillis = untilMillis;
    }

    void listed(ListedInstance instance) {
        this.listed = instance;
    }

    /** Notes what the peer said of itself. */
    public void recordDigest(long now, Revision revision, boolean isStopping) {
        lastHeardMillis = now;
        configRevision = revision.isNewerThan(configRevision) ? revision : configRevision;
        stopping = isStopping;
        unresponsiveUntilMillis = Long.MIN_VALUE;
    }
}
