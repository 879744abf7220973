package org.cuminspur.benchmarks.speed;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cuminspur.control.message.PeerMessage;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.Revision;
import org.cuminspur.peer.internal.FrameAuthenticator;
import org.cuminspur.peer.internal.PeerCodec;
import org.cuminspur.peer.internal.generated.Frame;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Times the coding of the message that routers exchange most; its state belongs to one benchmark thread. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class PeerMessageBenchmark {
    private static final InstanceId FROM = new InstanceId("router-1");
    private static final InstanceId TO = new InstanceId("router-2");

    private final FrameAuthenticator auth = new FrameAuthenticator("a-peer-key-of-the-benchmarks");
    private final PeerMessage.Digest digest = new PeerMessage.Digest(
            new FailureDomainId("milano"), new Revision(2_300), 0x1234_5678_9ABCL, false, true, 1_000, List.of());
    private final Frame frame = auth.sign(FROM, TO, PeerCodec.encode(digest));

    /** Encodes and signs a digest. */
    @Benchmark
    public Frame encodeAndSign() {
        return auth.sign(FROM, TO, PeerCodec.encode(digest));
    }

    /** Checks and decodes a digest. */
    @Benchmark
    public Optional<PeerMessage> checkAndDecode() {
        return auth.verify(frame, TO) ? PeerCodec.decode(frame.getPayload().toByteArray()) : Optional.empty();
    }
}
