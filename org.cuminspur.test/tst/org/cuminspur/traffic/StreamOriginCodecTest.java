package org.cuminspur.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.Random;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.StreamId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that messages about the origins of streams survive encoding, and that nothing else is decoded. */
public class StreamOriginCodecTest {
    private static final StreamId STREAM = StreamId.ofRequest("attempt");
    private static final StreamOriginMessage KNOWN = known("v1.2");
    private static final int RANDOM_DATAGRAMS = 10_000;

    @DataProvider
    public Object[][] messages() {
        return new Object[][] {
            {KNOWN}, {new StreamOriginMessage.Query(STREAM)}, {new StreamOriginMessage.Unknown(STREAM)}
        };
    }

    @Test(dataProvider = "messages")
    public void decodesWhatItEncodes(StreamOriginMessage message) {
        assertEquals(StreamOriginCodec.decode(StreamOriginCodec.encode(message).orElseThrow()), Optional.of(message));
    }

    @Test(dataProvider = "messages")
    public void rejectsShorterAndLongerDatagrams(StreamOriginMessage message) {
        ByteBuffer whole = StreamOriginCodec.encode(message).orElseThrow();
        for (int length = 0; length < whole.remaining(); length++) {
            assertEquals(StreamOriginCodec.decode(whole.slice(0, length)), Optional.empty());
        }
        ByteBuffer longer = ByteBuffer.allocate(whole.remaining() + 1)
                .put(whole.duplicate())
                .rewind();
        assertEquals(StreamOriginCodec.decode(longer), Optional.empty());
    }

    @Test
    public void doesNotEncodeNamesThatAreTooLong() {
        assertEquals(StreamOriginCodec.encode(known("v".repeat(201))), Optional.empty());
    }

    @Test
    public void decodesRandomBytesWithoutAnError() {
        Random random = new Random(1);
        for (int i = 0; i < RANDOM_DATAGRAMS; i++) {
            byte[] bytes = new byte[random.nextInt(40)];
            random.nextBytes(bytes);
            if (bytes.length > 0) {
                bytes[0] = (byte) (2 + random.nextInt(3));
            }
            StreamOriginCodec.decode(ByteBuffer.wrap(bytes));
        }
        assertTrue(StreamOriginCodec.isKind((byte) 2) && !StreamOriginCodec.isKind((byte) 1));
    }

    private static StreamOriginMessage known(String version) {
        return new StreamOriginMessage.Known(
                STREAM, new StreamOrigin(new ServiceId("model"), new SoftwareVersion(version)), 15_000);
    }
}
