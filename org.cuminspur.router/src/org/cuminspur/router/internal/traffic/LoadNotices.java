package org.cuminspur.router.internal.traffic;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.cuminspur.balance.UpstreamReport;
import org.cuminspur.event.EventSink;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.LoadNotice;
import org.cuminspur.traffic.LoadNoticeCodec;
import org.cuminspur.traffic.LoadNoticePolicy;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.UpstreamPool;
import org.cuminspur.traffic.UpstreamState;

/** Shares the loads of overloaded upstreams with the other instances of the fleet; used on the traffic thread. */
final class LoadNotices {
    private static final String COUNTERS = "load-notices";

    private final Clock clock;
    private final UpstreamPool upstreams;
    private final PromptPlacement placement;
    private final EventSink events;
    private final LoadNoticePolicy policy = new LoadNoticePolicy();
    private final PeerChannel channel;

    LoadNotices(Clock clock, UpstreamPool upstreams, PromptPlacement placement, EventSink events, PeerChannel channel) {
        this.clock = clock;
        this.upstreams = upstreams;
        this.placement = placement;
        this.events = events;
        this.channel = channel;
        channel.register(COUNTERS, kind -> LoadNoticeCodec.isKind((byte) kind), (from, datagram) -> receive(datagram));
    }

    /** Records the load that an upstream reports, and tells the other instances if it is over the limit. */
    void reported(UpstreamState upstream, UpstreamReport report) {
        long now = clock.millis();
        int load = report.load();
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
            LoadNoticeCodec.encode(notice).ifPresent(datagram -> channel.sendToAll(COUNTERS, datagram));
        });
    }

    private boolean receive(ByteBuffer datagram) {
        Optional<LoadNotice> notice = LoadNoticeCodec.decode(datagram);
        notice.ifPresent(known -> upstreams
                .find(known.upstream())
                .ifPresent(upstream -> policy.recordReceived(upstream, known, clock.millis())));
        return notice.isPresent();
    }
}
