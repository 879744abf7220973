package org.cuminspur.reachability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.traffic.UpstreamProcessId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that messages about paths survive encoding, and that nothing else is decoded. */
public class PathCodecTest {
    private static final ServiceId SERVICE = new ServiceId("model");
    private static final FailureDomainId DOMAIN = new FailureDomainId("north");
    private static final PathMessage.ReachedUpstream REACHED =
            new PathMessage.ReachedUpstream(new UpstreamProcessId(-7), 1_234);
    private static final PathMessage.ReachingInstance OTHER =
            new PathMessage.ReachingInstance(new InstanceId("router-1"), DOMAIN, 0);
    private static final int RANDOM_DATAGRAMS = 10_000;

    @DataProvider
    public Object[][] messages() {
        return new Object[][] {
            {new PathMessage.Query(SERVICE, List.of())},
            {new PathMessage.Query(SERVICE, Collections.nCopies(PathCodec.MAX_UPSTREAMS, new UpstreamProcessId(9)))},
            {new PathMessage.Report(SERVICE, DOMAIN, List.of(), List.of())},
            {
                new PathMessage.Report(
                        SERVICE,
                        DOMAIN,
                        Collections.nCopies(PathCodec.MAX_UPSTREAMS, REACHED),
                        Collections.nCopies(PathCodec.MAX_INSTANCES, OTHER))
            }
        };
    }

    @Test(dataProvider = "messages")
    public void decodesWhatItEncodes(PathMessage message) {
        ByteBuffer datagram = PathCodec.encode(message).orElseThrow();
        assertTrue(PathCodec.isKind(datagram.get(0)));
        assertEquals(PathCodec.decode(datagram), Optional.of(message));
    }

    @Test(dataProvider = "messages")
    public void decodesNothingThatIsShorterOrLonger(PathMessage message) {
        ByteBuffer datagram = PathCodec.encode(message).orElseThrow();
        for (int length = 0; length < datagram.limit(); length++) {
            assertEquals(PathCodec.decode(datagram.duplicate().limit(length)), Optional.empty(), "length " + length);
        }
        ByteBuffer longer = ByteBuffer.allocate(datagram.limit() + 1)
                .put(datagram.duplicate())
                .rewind();
        assertEquals(PathCodec.decode(longer), Optional.empty());
    }

    @Test
    public void namesThatAreTooLongAreNotEncoded() {
        ServiceId tooLong = new ServiceId("m".repeat(PathCodec.MAX_BYTES));
        assertEquals(PathCodec.encode(new PathMessage.Query(tooLong, List.of())), Optional.empty());
    }

    @Test
    public void randomDatagramsAreRejectedOrDecoded() {
        Random random = new Random(1);
        for (int i = 0; i < RANDOM_DATAGRAMS; i++) {
            byte[] bytes = new byte[random.nextInt(64)];
            random.nextBytes(bytes);
            if (bytes.length > 0) {
                bytes[0] = (byte) (20 + random.nextInt(2));
            }
            PathCodec.decode(ByteBuffer.wrap(bytes));
        }
    }
}
