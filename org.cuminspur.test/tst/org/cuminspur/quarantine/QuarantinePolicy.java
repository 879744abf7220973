package org.cuminspur.quarantine;

import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.PromptPartId;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamState;

/** The policy of the product; not thread-safe. */
final class QuarantinePolicy implements CrashPolicy {
    /** The simulated network and upstreams. */
    interface World {
        Clock clock();

        void deliver(SimulatedInstance from, InstanceId to, QuarantineMessage message);

        void deliverToAll(SimulatedInstance from, QuarantineMessage message);

        void probe(SimulatedInstance from, UpstreamState upstream, Consumer<CrashInquiry.Probe> result);

        void withdraw(List<SimulatedAttempt> cancelled);
    }

    final CrashQuarantine quarantine;
    private final World world;
    private final UpstreamEndDetector ends;
    private final CrashInquiry inquiry;

    QuarantinePolicy(SimulatedInstance instance, World world) {
        this.world = world;
        CrashQuarantine.Host host = new CrashQuarantine.Host() {
            @Override
            public void send(InstanceId to, QuarantineMessage message) {
                world.deliver(instance, to, message);
            }

            @Override
            public void sendToAll(QuarantineMessage message) {
                world.deliverToAll(instance, message);
            }

            @Override
            public void cancel(SuspectId suspect) {
                world.withdraw(instance.cancel(suspect));
            }
        };
        quarantine = new CrashQuarantine(
                instance.id,
                world.clock(),
                instance::schedule,
                new Random(instance.id.hashCode()),
                host,
                EventSink.NONE);
        ends = new UpstreamEndDetector(quarantine::recordEnd);
        inquiry = new CrashInquiry(
                world.clock(),
                instance::schedule,
                quarantine,
                ends,
                (upstream, result) -> world.probe(instance, upstream, result));
    }

    @Override
    public void admit(SimulatedAttempt attempt, Consumer<Admission> result) {
        quarantine.admit(attempt.suspects(), result);
    }

    @Override
    public void answered(SimulatedAttempt attempt) {
        quarantine.recordAnswered(attempt.suspects(), attempt.firstEventMillis);
    }

    @Override
    public void broken(UpstreamState upstream, BrokenRequest request, Consumer<Boolean> result) {
        inquiry.recordBroken(upstream, request, result);
    }

    @Override
    public void refused(UpstreamState upstream) {
        ends.recordRefused(upstream.entry(), world.clock().millis());
    }

    @Override
    public void responded(UpstreamState upstream, long sentMillis) {
        ends.recordAlive(upstream.entry(), sentMillis);
    }

    @Override
    public void update(FleetView view) {
        ends.update(view, world.clock().millis());
        quarantine.update(view);
    }

    @Override
    public boolean blocks(PromptPartId part) {
        return quarantine.isQuarantined(SuspectId.of(part));
    }

    @Override
    public boolean blocks(RequestIdentity request) {
        return quarantine.isQuarantined(SuspectId.of(request));
    }
}
