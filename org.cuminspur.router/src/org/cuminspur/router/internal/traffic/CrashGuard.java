package org.cuminspur.router.internal.traffic;

import com.codahale.metrics.MetricRegistry;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.InstanceId;
import org.cuminspur.quarantine.Admission;
import org.cuminspur.quarantine.BrokenRequest;
import org.cuminspur.quarantine.CrashInquiry;
import org.cuminspur.quarantine.CrashQuarantine;
import org.cuminspur.quarantine.QuarantineCodec;
import org.cuminspur.quarantine.QuarantineMessage;
import org.cuminspur.quarantine.SuspectId;
import org.cuminspur.quarantine.Suspects;
import org.cuminspur.quarantine.UpstreamEnd;
import org.cuminspur.quarantine.UpstreamEndDetector;
import org.cuminspur.reachability.PathMonitor;
import org.cuminspur.reachability.PathState;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamState;

/** Keeps requests that crash upstreams away from them; used on the traffic thread. */
final class CrashGuard {
    private static final String COUNTERS = "crash-quarantine";

    private final Clock clock;
    private final EventSink events;
    private final MetricRegistry metrics;
    private final UpstreamConnectionPool connections;
    private final CrashQuarantine quarantine;
    private final UpstreamEndDetector ends;
    private final CrashInquiry inquiry;
    private final UnansweredRequests unanswered;
    private final PathMonitor paths;

    CrashGuard(
            InstanceId self,
            Clock clock,
            Timer timer,
            UpstreamConnectionPool connections,
            PeerChannel channel,
            UnansweredRequests unanswered,
            PathMonitor paths,
            EventSink events,
            MetricRegistry metrics) {
        this.clock = clock;
        this.events = events;
        this.metrics = metrics;
        this.connections = connections;
        this.unanswered = unanswered;
        this.paths = paths;
        quarantine = new CrashQuarantine(self, clock, timer, new Random(), host(channel), events);
        ends = new UpstreamEndDetector(this::ended);
        inquiry = new CrashInquiry(clock, timer, quarantine, ends, this::probe);
        channel.register(COUNTERS, kind -> QuarantineCodec.isKind((byte) kind), this::receive);
    }

    /** Applies a newer view of the fleet. */
    void update(FleetView view) {
        ends.update(view, clock.millis());
        quarantine.update(view);
    }

    /** Decides whether a request may be sent; the result is passed on at once or soon. */
    void admit(Suspects suspects, Consumer<Admission> result) {
        quarantine.admit(suspects, admission -> {
            if (!admission.admitted()) {
                metrics.counter(COUNTERS + ".held-back").inc();
            }
            result.accept(admission);
        });
    }

    /** Returns whether a request is held back but for trials. */
    boolean holdsBack(Suspects suspects) {
        return quarantine.holdsBack(suspects);
    }

    /** Records that a successful response that began at a time went on for a while, or was complete. */
    void recordAnswered(Suspects suspects, long beganMillis) {
        quarantine.recordAnswered(suspects, beganMillis);
    }

    /** Records a request whose connection broke, and finds out whether it may be sent to another upstream. */
    void recordBroken(UpstreamState upstream, BrokenRequest request, Consumer<Boolean> mayRepeat) {
        inquiry.recordBroken(upstream, request, mayRepeat);
    }

    /** Records that an upstream refused a connection, which proves its end only if others take connections. */
    void recordRefused(UpstreamState upstream) {
        whenPathProved(upstream, proved -> {
            if (proved) {
                ends.recordRefused(upstream.entry(), clock.millis());
            }
        });
    }

    /** Records that an upstream responded to a request that was sent at {@code sentMillis}. */
    void recordAlive(UpstreamState upstream, long sentMillis) {
        ends.recordAlive(upstream.entry(), sentMillis);
    }

    private void ended(UpstreamEnd end) {
        UpstreamEndLog.log(events, end);
        quarantine.recordEnd(end);
    }

    private void probe(UpstreamState upstream, Consumer<CrashInquiry.Probe> result) {
        connections.probe(upstream, () -> probed(CrashInquiry.Probe.LISTENING, result), failure -> {
            if (UpstreamConnectionPool.isRefused(failure)) {
                whenPathProved(
                        upstream,
                        proved -> probed(proved ? CrashInquiry.Probe.REFUSED : CrashInquiry.Probe.UNKNOWN, result));
            } else {
                probed(CrashInquiry.Probe.UNKNOWN, result);
            }
        });
    }

    /** Finds out whether this instance reaches other upstreams of the same service. */
    private void whenPathProved(UpstreamState upstream, Consumer<Boolean> result) {
        paths.whenSettled(upstream.entry().service(), state -> result.accept(state == PathState.REACHABLE));
    }

    private void probed(CrashInquiry.Probe probe, Consumer<CrashInquiry.Probe> result) {
        metrics.counter(COUNTERS + ".probes").inc();
        result.accept(probe);
    }

    private CrashQuarantine.Host host(PeerChannel channel) {
        return new CrashQuarantine.Host() {
            @Override
            public void send(InstanceId to, QuarantineMessage message) {
                channel.send(COUNTERS, to, QuarantineCodec.encode(message));
            }

            @Override
            public void sendToAll(QuarantineMessage message) {
                channel.sendToAll(COUNTERS, QuarantineCodec.encode(message));
            }

            @Override
            public void cancel(SuspectId suspect) {
                unanswered.quarantine(suspect);
            }
        };
    }

    private boolean receive(InstanceId from, ByteBuffer datagram) {
        Optional<QuarantineMessage> message = QuarantineCodec.decode(datagram);
        message.ifPresent(known -> quarantine.receive(from, known));
        return message.isPresent();
    }
}
