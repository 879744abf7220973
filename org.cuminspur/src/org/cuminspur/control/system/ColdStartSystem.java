package org.cuminspur.control.system;

import org.cuminspur.config.ServiceSpec;
import org.cuminspur.control.ColdState;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.Tables;
import org.cuminspur.control.Turn;
import org.cuminspur.control.UpstreamRow;
import org.cuminspur.control.message.PeerMessage.UpstreamAlert;
import org.cuminspur.control.message.PeerMessage.UpstreamAlerts;
import org.cuminspur.id.InstanceId;
import org.cuminspur.routing.UpstreamTracker;

/**
 * Limits what this router sends to upstreams that have started lately, and lets the share of a returning failure
 * domain grow slowly.
 *
 * <p>Used on the control thread only. All routers derive the fleet's budget for a cold upstream from its start; a
 * rendezvous rank says which routers may use it. No message is needed for that, so none that is lost can break it.
 */
public final class ColdStartSystem implements ControlSystem {
    private static final double RETURN_START_SHARE = 0.1;

    private final Tables tables;
    private final RouterRanks ranks;
    private boolean listedBefore;

    public ColdStartSystem(Tables tables, RouterRanks ranks) {
        this.tables = tables;
        this.ranks = ranks;
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.on(ControlInput.InstancesListed.class, this::listed);
        handlers.onPeer(UpstreamAlerts.class, this::heard);
    }

    @Override
    public void tick(Turn turn) {
        ranks.refresh(turn.now());
        tables.upstreams().forEach(row -> update(row, turn));
    }

    private void listed(ControlInput.InstancesListed input, Turn turn) {
        tables.upstreams().forEach(row -> listed(row, turn));
        listedBefore = true;
    }

    private void listed(UpstreamRow row, Turn turn) {
        ColdState cold = row.cold();
        String incarnation = row.listed().incarnation();
        if (incarnation.equals(cold.listedIncarnation())) {
            return;
        }
        boolean known = listedBefore || !cold.listedIncarnation().isEmpty();
        cold.listedIncarnation(incarnation);
        long start = ColdBudget.startOf(incarnation, known ? turn.now() : ColdState.LONG_AGO);
        cold.startedAt(Math.min(start, turn.now()));
    }

    private void heard(InstanceId from, UpstreamAlerts message, Turn turn) {
        for (UpstreamAlert alert : message.alerts()) {
            UpstreamRow row = tables.upstream(alert.upstream());
            if (alert.kind() == UpstreamAlert.Kind.COLD && row != null) {
                cold(row, alert.incarnation(), turn);
            }
        }
    }

    private void update(UpstreamRow row, Turn turn) {
        row.cold().out(tables.out(row), turn.now());
        ServiceSpec service = tables.config().services().get(row.service());
        if (service == null) {
            return;
        }
        readReport(row, turn);
        row.weight(row.load().baseWeight() * returnShare(row, service, turn.now()));
        row.allowance(row.suspect() ? 0 : allowance(row, service, turn.now()));
    }

    private void readReport(UpstreamRow row, Turn turn) {
        UpstreamTracker.ReceivedReport reported = row.tracker().latestReport();
        long incarnation = reported == null ? 0 : reported.report().incarnation();
        ColdState cold = row.cold();
        if (incarnation <= cold.reportedIncarnation()) {
            return;
        }
        boolean anew = cold.reportedIncarnation() != 0;
        cold.reportedIncarnation(incarnation);
        if (anew && cold(row, turn.now(), turn)) {
            tables.alerts().add(new UpstreamAlert(row.id(), UpstreamAlert.Kind.COLD, incarnation, turn.now(), 0));
        }
    }

    /** Notes a start; returns whether it was news. */
    private boolean cold(UpstreamRow row, long startMillis, Turn turn) {
        boolean news = row.cold().startedAt(Math.min(startMillis, turn.now()));
        if (news) {
            turn.changed("upstream-cold", row.id().value());
        }
        return news;
    }

    private int allowance(UpstreamRow row, ServiceSpec service, long now) {
        long age = now - row.cold().startMillis();
        // A failure while cold means that it bears less than the ramp assumes, so the ramp starts anew.
        if (row.cold().failedSince(row.tracker().failedCount()) && age < service.rampMillis()) {
            row.cold().startedAt(now);
            age = 0;
        }
        return age >= service.rampMillis()
                ? Integer.MAX_VALUE
                : ColdBudget.share(ColdBudget.fleet(service, age), ranks.rank(row.id()), ranks.size());
    }

    private static double returnShare(UpstreamRow row, ServiceSpec service, long now) {
        double passed = (double) (now - row.cold().returnedMillis()) / service.rampMillis();
        return passed >= 1 ? 1 : RETURN_START_SHARE + (1 - RETURN_START_SHARE) * Math.max(0, passed);
    }
}
