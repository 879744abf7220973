package org.cuminspur.peer.internal;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.cuminspur.id.InstanceId;
import org.cuminspur.peer.internal.generated.Frame;

/**
 * Signs frames with the fleet's peer key and verifies them in constant time.
 *
 * <p>Immutable and thread-safe. There is no replay protection: messages merge by version, so a replay has no effect.
 */
public final class FrameAuthenticator {
    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;

    public FrameAuthenticator(String peerKey) {
        key = new SecretKeySpec(peerKey.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    public Frame sign(InstanceId from, InstanceId to, byte[] payload) {
        return Frame.newBuilder()
                .setFrom(from.value())
                .setTo(to.value())
                .setPayload(ByteString.copyFrom(payload))
                .setMac(ByteString.copyFrom(mac(from.value(), to.value(), payload)))
                .build();
    }

    /** Returns whether a frame was signed with the fleet's key and is addressed to {@code self}. */
    public boolean verify(Frame frame, InstanceId self) {
        byte[] expected = mac(frame.getFrom(), frame.getTo(), frame.getPayload().toByteArray());
        boolean signed = MessageDigest.isEqual(expected, frame.getMac().toByteArray());
        return signed && frame.getTo().equals(self.value()) && !frame.getFrom().isBlank();
    }

    private byte[] mac(String from, String to, byte[] payload) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update((from.length() + ":" + from + to.length() + ":" + to).getBytes(StandardCharsets.UTF_8));
            return mac.doFinal(payload);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
