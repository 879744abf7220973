package org.cuminspur.control;

import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.routing.UpstreamTracker;

/** State of an upstream, as known to this router; used on the control thread only, except for its tracker. */
public final class UpstreamRecord {
    private static final int SUSPECT_FAILURES = 3;

    private final UpstreamId id;
    private final UpstreamTracker tracker = new UpstreamTracker();
    private ListedInstance listed;
    private boolean leavingNoticeHeld;
    private double weight = 1;
    private int allowance = Integer.MAX_VALUE;
    private double spillShare;
    private final ColdStartState coldStart = new ColdStartState();
    private final LoadState load = new LoadState();

    UpstreamRecord(ListedInstance listed) {
        this.id = new UpstreamId(listed.name());
        this.listed = listed;
    }

    public UpstreamId id() {
        return id;
    }

    public ServiceId service() {
        return new ServiceId(listed.service());
    }

    /** Returns the upstream's entry in the platform's list. */
    public ListedInstance listed() {
        return listed;
    }

    public FailureDomainId domain() {
        return listed.domain();
    }

    /** Returns whether the upstream is about to stop, according to this router's list or a notice. */
    public boolean leaving() {
        return listed.leaving() || leavingNoticeHeld;
    }

    /** Sets whether this router holds a notice that this incarnation is about to stop. */
    public void leavingNoticeHeld(boolean held) {
        leavingNoticeHeld = held;
    }

    /** Returns the tracker that request threads update. */
    public UpstreamTracker tracker() {
        return tracker;
    }

    /** Returns the upstream's weight in placement; 1 is an even share. */
    public double weight() {
        return weight;
    }

    /** Sets the upstream's weight in placement, above zero. */
    public void weight(double value) {
        weight = value;
    }

    /** Returns the most requests that this router may have in progress at the upstream. */
    public int allowance() {
        return allowance;
    }

    /** Sets the most requests that this router may have in progress at the upstream. */
    public void allowance(int value) {
        allowance = value;
    }

    /** Returns the share of the upstream's chats that spill to their next choice, from 0 to 1. */
    public double spillShare() {
        return spillShare;
    }

    /** Sets the share of the upstream's chats that spill to their next choice, from 0 to 1. */
    public void spillShare(double value) {
        spillShare = value;
    }

    /** Returns the state of the upstream's cold start. */
    public ColdStartState coldStart() {
        return coldStart;
    }

    /** Returns the upstream's load as observed and reported. */
    public LoadState load() {
        return load;
    }

    /** Returns whether the upstream has failed so often in succession that no request is sent until it answers. */
    public boolean suspect() {
        return tracker.consecutiveFailures() >= SUSPECT_FAILURES;
    }

    void listed(ListedInstance instance) {
        this.listed = instance;
    }
}
