package org.cuminspur.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import org.cuminspur.id.UpstreamId;
import org.testng.annotations.Test;

/** Checks the datagrams of load notices, and what is not decoded. */
public class LoadNoticeCodecTest {
    private static final LoadNotice NOTICE = new LoadNotice(new UpstreamId("i-48aa677580"), 1_767_472_039_200L, 40_000);

    @Test
    public void decodesWhatWasEncoded() {
        assertEquals(LoadNoticeCodec.decode(ByteBuffer.wrap(datagram())), Optional.of(NOTICE));
    }

    @Test
    public void decodesNoTruncatedDatagramThatLacksAnId() {
        byte[] datagram = datagram();
        for (int length = 0; length <= 11; length++) {
            assertTrue(LoadNoticeCodec.decode(ByteBuffer.wrap(Arrays.copyOf(datagram, length)))
                    .isEmpty());
        }
    }

    @Test
    public void decodesNoOtherVersionAndNoOversizedDatagram() {
        byte[] other = datagram();
        other[0]++;
        assertTrue(LoadNoticeCodec.decode(ByteBuffer.wrap(other)).isEmpty());
        byte[] oversized = Arrays.copyOf(datagram(), LoadNoticeCodec.MAX_BYTES + 1);
        assertTrue(LoadNoticeCodec.decode(ByteBuffer.wrap(oversized)).isEmpty());
    }

    @Test
    public void doesNotEncodeAnOverlongId() {
        LoadNotice overlong = new LoadNotice(new UpstreamId("i".repeat(LoadNoticeCodec.MAX_BYTES)), 1, 1);
        assertTrue(LoadNoticeCodec.encode(overlong).isEmpty());
    }

    private static byte[] datagram() {
        return LoadNoticeCodec.encode(NOTICE).orElseThrow().array();
    }
}
