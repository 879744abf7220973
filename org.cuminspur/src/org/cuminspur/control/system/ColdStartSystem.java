package org.cuminspur.control.system;

import org.cuminspur.config.ServiceSpec;
import org.cuminspur.control.ColdStartState;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ControlState;
import org.cuminspur.control.ControlStep;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.UpstreamRecord;
import org.cuminspur.control.message.PeerMessage.UpstreamAlert;
import org.cuminspur.control.message.PeerMessage.UpstreamAlerts;
import org.cuminspur.id.InstanceId;
import org.cuminspur.routing.UpstreamTracker;

/**
 * Limits what this router sends to recently started upstreams, and ramps up the weight of upstreams that operators
 * bring back.
 *
 * <p>Used on the control thread only. All routers derive the fleet's budget for a cold upstream from its start; a
 * rendezvous rank determines which routers may use it. This takes no messages, so a lost message cannot break it. A
 * restart that a load report shows is also announced to the peers.
 */
public final class ColdStartSystem implements ControlSystem {
    private static final double RETURN_START_SHARE = 0.1;

    private final ControlState state;
    private final RouterRanks ranks;
    private boolean listReceived;

    public ColdStartSystem(ControlState state, RouterRanks ranks) {
        this.state = state;
        this.ranks = ranks;
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.on(ControlInput.InstancesListed.class, this::onInstancesListed);
        handlers.onPeerMessage(UpstreamAlerts.class, this::onAlerts);
    }

    @Override
    public void tick(ControlStep step) {
        ranks.refresh(step.now());
        state.upstreams().forEach(upstream -> update(upstream, step));
    }

    private void onInstancesListed(ControlInput.InstancesListed input, ControlStep step) {
        state.upstreams().forEach(upstream -> recordListedIncarnation(upstream, step));
        listReceived = true;
    }

    private void recordListedIncarnation(UpstreamRecord upstream, ControlStep step) {
        ColdStartState cold = upstream.coldStart();
        String incarnation = upstream.listed().incarnation();
        if (incarnation.equals(cold.listedIncarnation())) {
            return;
        }
        boolean startObserved = listReceived || !cold.listedIncarnation().isEmpty();
        cold.listedIncarnation(incarnation);
        long start = ColdStartBudget.startMillis(incarnation, startObserved ? step.now() : ColdStartState.DISTANT_PAST);
        cold.recordStart(Math.min(start, step.now()));
    }

    private void onAlerts(InstanceId from, UpstreamAlerts message, ControlStep step) {
        for (UpstreamAlert alert : message.alerts()) {
            UpstreamRecord upstream = state.upstream(alert.upstream());
            if (alert.kind() == UpstreamAlert.Kind.COLD && upstream != null) {
                recordColdStart(upstream, alert.incarnation(), step);
            }
        }
    }

    private void update(UpstreamRecord upstream, ControlStep step) {
        upstream.coldStart().recordOutOfService(state.isOutOfService(upstream), step.now());
        ServiceSpec service = state.config().services().get(upstream.service());
        if (service == null) {
            return;
        }
        checkReportedIncarnation(upstream, step);
        upstream.weight(upstream.load().baseWeight() * returnRampShare(upstream, service, step.now()));
        upstream.allowance(upstream.suspect() ? 0 : allowance(upstream, service, step.now()));
    }

    private void checkReportedIncarnation(UpstreamRecord upstream, ControlStep step) {
        UpstreamTracker.ReceivedReport reported = upstream.tracker().latestReport();
        long incarnation = reported == null ? 0 : reported.report().incarnation();
        ColdStartState cold = upstream.coldStart();
        if (incarnation <= cold.reportedIncarnation()) {
            return;
        }
        boolean restarted = cold.reportedIncarnation() != 0;
        cold.reportedIncarnation(incarnation);
        if (restarted && recordColdStart(upstream, step.now(), step)) {
            state.alertOutbox()
                    .add(new UpstreamAlert(upstream.id(), UpstreamAlert.Kind.COLD, incarnation, step.now(), 0));
        }
    }

    /** Records a cold start; returns whether it was new. */
    private boolean recordColdStart(UpstreamRecord upstream, long startMillis, ControlStep step) {
        boolean isNew = upstream.coldStart().recordStart(Math.min(startMillis, step.now()));
        if (isNew) {
            step.reportChange("upstream-cold", upstream.id().value());
        }
        return isNew;
    }

    private int allowance(UpstreamRecord upstream, ServiceSpec service, long now) {
        long age = now - upstream.coldStart().startMillis();
        // A failure while cold means that the upstream bears less than the ramp assumes, so the ramp restarts.
        if (upstream.coldStart().recordFailures(upstream.tracker().failedCount()) && age < service.rampMillis()) {
            upstream.coldStart().recordStart(now);
            age = 0;
        }
        return age >= service.rampMillis()
                ? Integer.MAX_VALUE
                : ColdStartBudget.routerShare(
                        ColdStartBudget.fleetBudget(service, age), ranks.rank(upstream.id()), ranks.size());
    }

    private static double returnRampShare(UpstreamRecord upstream, ServiceSpec service, long now) {
        double passed = (double) (now - upstream.coldStart().returnedToServiceMillis()) / service.rampMillis();
        return passed >= 1 ? 1 : RETURN_START_SHARE + (1 - RETURN_START_SHARE) * Math.max(0, passed);
    }
}
