package org.cuminspur.control;

import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.routing.UpstreamGauge;

/** What is known of an upstream; used on the control thread only, but for its gauge. */
public final class UpstreamRow {
    private final UpstreamId id;
    private final UpstreamGauge gauge = new UpstreamGauge();
    private ListedInstance listed;
    private boolean toldLeaving;
    private double weight = 1;
    private int allowance = Integer.MAX_VALUE;

    UpstreamRow(ListedInstance listed) {
        this.id = new UpstreamId(listed.name());
        this.listed = listed;
    }

    public UpstreamId id() {
        return id;
    }

    public ServiceId service() {
        return new ServiceId(listed.service());
    }

    /** Returns the upstream's line in the platform's list. */
    public ListedInstance listed() {
        return listed;
    }

    public FailureDomainId domain() {
        return listed.domain();
    }

    /** Returns whether the upstream is about to stop, as this router's list or a peer's says. */
    public boolean leaving() {
        return listed.leaving() || toldLeaving;
    }

    /** Sets whether a peer told that this incarnation is about to stop. */
    public void toldLeaving(boolean told) {
        toldLeaving = told;
    }

    /** Returns the counters that traffic threads write. */
    public UpstreamGauge gauge() {
        return gauge;
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

    void listed(ListedInstance instance) {
        this.listed = instance;
    }
}
