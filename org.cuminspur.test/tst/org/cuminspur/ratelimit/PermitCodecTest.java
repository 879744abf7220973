package org.cuminspur.ratelimit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cuminspur.traffic.UpstreamProcessId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that messages about limits survive encoding, and that nothing else is decoded. */
public class PermitCodecTest {
    private static final UpstreamProcessId UPSTREAM = new UpstreamProcessId(-7);
    private static final LimitFact LIMIT = new LimitFact(UPSTREAM, true, 2.5, 1_234);
    private static final int RANDOM_DATAGRAMS = 10_000;

    @DataProvider
    public Object[][] messages() {
        return new Object[][] {
            {new PermitMessage.Limits(List.of(LIMIT, new LimitFact(UPSTREAM, false, 0, 0)))},
            {new PermitMessage.Limits(List.of(new LimitFact(UPSTREAM, true, 0, 0)))},
            {new PermitMessage.Limits(Collections.nCopies(PermitCodec.MAX_LIMITS, LIMIT))},
            {new PermitMessage.Query(9, UPSTREAM, 0.25, true)},
            {new PermitMessage.Reply(9, true, 0)},
            {new PermitMessage.Reply(-1, false, 400)}
        };
    }

    @Test(dataProvider = "messages")
    public void decodesWhatItEncodes(PermitMessage message) {
        ByteBuffer datagram = PermitCodec.encode(message);
        assertTrue(PermitCodec.isKind(datagram.get(0)) && datagram.remaining() <= PermitCodec.MAX_BYTES);
        assertEquals(PermitCodec.decode(datagram), Optional.of(message));
    }

    @Test(dataProvider = "messages")
    public void rejectsLongerAndShorterDatagrams(PermitMessage message) {
        ByteBuffer whole = PermitCodec.encode(message);
        ByteBuffer longer = ByteBuffer.allocate(whole.remaining() + 1)
                .put(whole.duplicate())
                .rewind();
        assertEquals(PermitCodec.decode(longer), Optional.empty());
        assertEquals(PermitCodec.decode(whole.slice(0, whole.remaining() - 1)), Optional.empty());
        assertEquals(PermitCodec.decode(whole.slice(0, 0)), Optional.empty());
    }

    @Test
    public void rejectsWhatIsNoRate() {
        for (float rate : new float[] {Float.NaN, -2, Float.POSITIVE_INFINITY, 1e9f}) {
            ByteBuffer query = PermitCodec.encode(new PermitMessage.Query(1, UPSTREAM, 1, false));
            query.putFloat(1 + Integer.BYTES + Long.BYTES, rate);
            assertEquals(PermitCodec.decode(query), Optional.empty());
        }
    }

    @Test
    public void doesNotEncodeMoreLimitsThanFit() {
        List<LimitFact> many = Collections.nCopies(PermitCodec.MAX_LIMITS + 1, LIMIT);
        assertThrows(IllegalArgumentException.class, () -> PermitCodec.encode(new PermitMessage.Limits(many)));
    }

    @Test
    public void decodesRandomBytesWithoutAnError() {
        Random random = new Random(1);
        for (int i = 0; i < RANDOM_DATAGRAMS; i++) {
            byte[] bytes = new byte[1 + random.nextInt(60)];
            random.nextBytes(bytes);
            bytes[0] = (byte) (8 + random.nextInt(3));
            PermitCodec.decode(ByteBuffer.wrap(bytes));
        }
    }
}
