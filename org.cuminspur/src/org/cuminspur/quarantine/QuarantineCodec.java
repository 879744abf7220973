package org.cuminspur.quarantine;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.cuminspur.traffic.UpstreamProcessId;

/**
 * Encodes messages about what may crash upstreams as datagrams; stateless and thread-safe.
 *
 * <p>A datagram is a byte with the kind. Crashes follow as suspect (9 bytes), process (8 bytes), request (8 bytes), age in
 * milliseconds (4 bytes) and whether it is cleared (1 byte) each; a query as the suspect; a reply as the suspect and
 * whether the trial is granted (1 byte). A suspect is a byte with its kind and its hash. All in network byte order;
 * datagrams of other kinds or lengths are not decoded.
 */
public final class QuarantineCodec {
    /** The most crashes in one message. */
    public static final int MAX_CRASHES = 24;

    private static final int SUSPECT_BYTES = Byte.BYTES + Long.BYTES;
    private static final int CRASH_BYTES = SUSPECT_BYTES + 2 * Long.BYTES + Integer.BYTES + Byte.BYTES;

    /** Largest datagram in bytes. */
    public static final int MAX_BYTES = Byte.BYTES + MAX_CRASHES * CRASH_BYTES;

    private static final byte CRASHES = 5;
    private static final byte TRIAL_QUERY = 6;
    private static final byte TRIAL_REPLY = 7;

    private QuarantineCodec() {}

    /** Returns whether a datagram that begins with this byte is of one of the kinds that this class decodes. */
    public static boolean isKind(byte first) {
        return first >= CRASHES && first <= TRIAL_REPLY;
    }

    /**
     * Returns the datagram of a message.
     *
     * @throws IllegalArgumentException if it has more than {@link #MAX_CRASHES} crashes
     */
    public static ByteBuffer encode(QuarantineMessage message) {
        ByteBuffer datagram = ByteBuffer.allocate(MAX_BYTES);
        if (message instanceof QuarantineMessage.Crashes crashes) {
            if (crashes.crashes().size() > MAX_CRASHES) {
                throw new IllegalArgumentException(
                        "too many crashes: " + crashes.crashes().size());
            }
            datagram.put(CRASHES);
            crashes.crashes()
                    .forEach(crash -> putSuspect(datagram, crash.suspect())
                            .putLong(crash.process().hash())
                            .putLong(crash.request())
                            .putInt((int) Math.min(Integer.MAX_VALUE, crash.ageMillis()))
                            .put((byte) (crash.cleared() ? 1 : 0)));
        } else if (message instanceof QuarantineMessage.TrialQuery query) {
            putSuspect(datagram.put(TRIAL_QUERY), query.suspect());
        } else if (message instanceof QuarantineMessage.TrialReply reply) {
            putSuspect(datagram.put(TRIAL_REPLY), reply.suspect()).put((byte) (reply.granted() ? 1 : 0));
        }
        return datagram.flip();
    }

    /** Returns the message in a datagram, empty if it is malformed. */
    public static Optional<QuarantineMessage> decode(ByteBuffer datagram) {
        if (!datagram.hasRemaining()) {
            return Optional.empty();
        }
        byte kind = datagram.get();
        int left = datagram.remaining();
        return switch (kind) {
            case CRASHES -> left > 0 && left % CRASH_BYTES == 0 ? decodeCrashes(datagram) : Optional.empty();
            case TRIAL_QUERY ->
                left == SUSPECT_BYTES
                        ? Optional.of(new QuarantineMessage.TrialQuery(decodeSuspect(datagram)))
                        : Optional.empty();
            case TRIAL_REPLY ->
                left == SUSPECT_BYTES + Byte.BYTES
                        ? Optional.of(new QuarantineMessage.TrialReply(decodeSuspect(datagram), datagram.get() == 1))
                        : Optional.empty();
            default -> Optional.empty();
        };
    }

    private static Optional<QuarantineMessage> decodeCrashes(ByteBuffer datagram) {
        List<SuspectCrash> crashes = IntStream.range(0, datagram.remaining() / CRASH_BYTES)
                .mapToObj(i -> new SuspectCrash(
                        decodeSuspect(datagram),
                        new UpstreamProcessId(datagram.getLong()),
                        datagram.getLong(),
                        datagram.getInt(),
                        datagram.get() == 1))
                .toList();
        return crashes.stream().anyMatch(crash -> crash.ageMillis() < 0)
                ? Optional.empty()
                : Optional.of(new QuarantineMessage.Crashes(crashes));
    }

    private static ByteBuffer putSuspect(ByteBuffer datagram, SuspectId suspect) {
        return datagram.put((byte) (suspect.isRequest() ? 1 : 0)).putLong(suspect.hash());
    }

    private static SuspectId decodeSuspect(ByteBuffer datagram) {
        return new SuspectId(datagram.get() == 1, datagram.getLong());
    }
}
