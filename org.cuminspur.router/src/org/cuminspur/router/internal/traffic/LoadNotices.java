package org.cuminspur.router.internal.traffic;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.Map;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.InstanceId;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.LoadNotice;
import org.cuminspur.traffic.LoadNoticePolicy;
import org.cuminspur.traffic.PeerAddress;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.ResponseMetadata;
import org.cuminspur.traffic.UpstreamPool;
import org.cuminspur.traffic.UpstreamState;
import org.xnio.XnioWorker;

/** Shares the loads of overloaded upstreams with the other instances of the fleet; used on the traffic thread. */
final class LoadNotices {
    private final Clock clock;
    private final UpstreamPool upstreams;
    private final PromptPlacement placement;
    private final EventSink events;
    private final LoadNoticePolicy policy = new LoadNoticePolicy();
    private final LoadNoticeChannel channel;

    /** Creates an object that shares nothing until {@link #open}. */
    LoadNotices(
            Clock clock, UpstreamPool upstreams, PromptPlacement placement, EventSink events, MetricRegistry metrics) {
        this.clock = clock;
        this.upstreams = upstreams;
        this.placement = placement;
        this.events = events;
        this.channel = new LoadNoticeChannel(events, metrics, this::received);
    }

    /** Opens the channel to the other instances; without it, the reports to this instance count as before. */
    void open(XnioWorker worker, PeerAddress address) {
        try {
            channel.open(worker, address);
        } catch (IOException e) {
            events.emit("load-notices-failed", "address", address.toString(), "error", e.toString());
        }
    }

    void close() {
        channel.close();
    }

    /** Applies a newer view of the fleet. */
    void update(FleetView view, InstanceId self) {
        channel.updatePeers(view.peers().entrySet().stream()
                .filter(peer -> !peer.getKey().equals(self))
                .map(Map.Entry::getValue));
    }

    /** Records the load that an upstream reports, and tells the other instances if it is over the limit. */
    void reported(UpstreamState upstream, ResponseMetadata.ReportedLoad report) {
        long now = clock.millis();
        int load = report.running() + report.waiting();
        upstream.recordReportedLoad(report.running(), report.waiting(), now);
        double limit = placement.loadLimit(upstreams.upstreams(upstream.entry().service()), now);
        policy.noticeOf(upstream, load, limit, now).ifPresent(notice -> {
            events.emit(
                    "upstream-overloaded",
                    "upstream",
                    upstream.id().value(),
                    "load",
                    load,
                    "loadLimit",
                    Math.round(limit));
            channel.send(notice);
        });
    }

    private void received(LoadNotice notice) {
        upstreams
                .find(notice.upstream())
                .ifPresent(upstream -> policy.recordReceived(upstream, notice, clock.millis()));
    }
}
