package org.cuminspur.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
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
        assertEquals(LoadNoticeCodec.decode(LoadNoticeCodec.encode(NOTICE)), Optional.of(NOTICE));
    }

    @Test
    public void decodesNoTruncatedDatagramThatLacksAnId() {
        byte[] datagram = LoadNoticeCodec.encode(NOTICE).array();
        for (int length = 0; length <= 11; length++) {
            assertTrue(LoadNoticeCodec.decode(ByteBuffer.wrap(Arrays.copyOf(datagram, length)))
                    .isEmpty());
        }
    }

    @Test
    public void decodesNoOtherVersionAndNoOversizedDatagram() {
        byte[] other = LoadNoticeCodec.encode(NOTICE).array().clone();
        other[0]++;
        assertTrue(LoadNoticeCodec.decode(ByteBuffer.wrap(other)).isEmpty());
        byte[] oversized = Arrays.copyOf(LoadNoticeCodec.encode(NOTICE).array(), LoadNoticeCodec.MAX_BYTES + 1);
        assertTrue(LoadNoticeCodec.decode(ByteBuffer.wrap(oversized)).isEmpty());
    }

    @Test
    public void refusesToEncodeAnOverlongId() {
        LoadNotice overlong = new LoadNotice(new UpstreamId("i".repeat(LoadNoticeCodec.MAX_BYTES)), 1, 1);
        assertThrows(IllegalArgumentException.class, () -> LoadNoticeCodec.encode(overlong));
    }
}
