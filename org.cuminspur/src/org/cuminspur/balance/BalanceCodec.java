package org.cuminspur.balance;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.cuminspur.traffic.UpstreamProcessId;

/**
 * Encodes messages about the loads of upstreams as datagrams; stateless and thread-safe.
 *
 * <p>A datagram is a byte with the kind. A query adds its number (4 bytes), the service (8), the terms (priority 1, four
 * figures of 4), and for each candidate its process (8) and flags (1). A reply adds the number (4) and the
 * process (8), a word that it waits the number, a rejection the number and a time (4), a failure and an error the process (8). A report adds the process (8) and five
 * figures (4 each, 0 for one that is not known). All in network byte order; datagrams of other kinds or lengths are not
 * decoded.
 */
public final class BalanceCodec {
    /** Candidates in one query. */
    static final int MAX_CANDIDATES = 32;

    private static final int CANDIDATE_BYTES = Long.BYTES + Byte.BYTES;
    private static final int QUERY_BYTES = Integer.BYTES + Long.BYTES + Byte.BYTES + 4 * Integer.BYTES;
    private static final int REPLY_BYTES = Integer.BYTES + Long.BYTES;
    private static final int QUEUED_BYTES = Integer.BYTES;
    private static final int REJECTED_BYTES = 2 * Integer.BYTES;
    private static final int REPORT_BYTES = Long.BYTES + 5 * Integer.BYTES;

    /** Largest datagram in bytes; it fits one packet of any network. */
    public static final int MAX_BYTES = Byte.BYTES + QUERY_BYTES + MAX_CANDIDATES * CANDIDATE_BYTES;

    private static final int LOCAL_FLAG = 1;
    private static final int EJECTED_FLAG = 2;

    private static final byte QUERY = 28;
    private static final byte REPLY = 29;
    private static final byte REPORT = 30;
    private static final byte QUEUED = 31;
    private static final byte REJECTED = 32;
    private static final byte FAILED = 33;
    private static final byte ERRED = 34;

    private BalanceCodec() {}

    /** Returns whether a datagram that begins with this byte is of one of the kinds that this class decodes. */
    public static boolean isKind(byte first) {
        return first >= QUERY && first <= ERRED;
    }

    /** Returns the datagram of a message. */
    public static ByteBuffer encode(BalanceMessage message) {
        ByteBuffer datagram = ByteBuffer.allocate(MAX_BYTES);
        if (message instanceof BalanceMessage.Query query) {
            datagram.put(QUERY).putInt(query.number()).putLong(query.service());
            RequestTerms terms = query.terms();
            datagram.put((byte) terms.priority()).putInt(terms.account());
            datagram.putInt(terms.aimLeftMillis())
                    .putInt(terms.limitLeftMillis())
                    .putInt(terms.waitedMillis());
            query.candidates()
                    .forEach(candidate ->
                            datagram.putLong(candidate.upstream().hash()).put(flags(candidate)));
        } else if (message instanceof BalanceMessage.Reply reply) {
            datagram.put(REPLY).putInt(reply.number()).putLong(reply.upstream().hash());
        } else if (message instanceof BalanceMessage.Queued queued) {
            datagram.put(QUEUED).putInt(queued.number());
        } else if (message instanceof BalanceMessage.Rejected rejected) {
            datagram.put(REJECTED).putInt(rejected.number()).putInt(rejected.retryAfterMillis());
        } else if (message instanceof BalanceMessage.Failed failed) {
            datagram.put(FAILED).putLong(failed.upstream().hash());
        } else if (message instanceof BalanceMessage.Erred erred) {
            datagram.put(ERRED).putLong(erred.upstream().hash());
        } else if (message instanceof BalanceMessage.Report report) {
            datagram.put(REPORT).putLong(report.upstream().hash());
            datagram.putInt(report.report().running()).putInt(report.report().waiting());
            datagram.putInt(report.report().slots().orElse(0));
            datagram.putInt(report.report().speedPercent().orElse(0));
            datagram.putInt(report.report().tookMillis().orElse(0));
        }
        return datagram.flip();
    }

    /** Returns the message in a datagram, empty if it is malformed. */
    public static Optional<BalanceMessage> decode(ByteBuffer datagram) {
        if (!datagram.hasRemaining() || datagram.remaining() > MAX_BYTES) {
            return Optional.empty();
        }
        byte kind = datagram.get();
        int left = datagram.remaining();
        return switch (kind) {
            case QUERY -> decodeQuery(datagram);
            case REPLY ->
                left == REPLY_BYTES
                        ? Optional.of(
                                new BalanceMessage.Reply(datagram.getInt(), new UpstreamProcessId(datagram.getLong())))
                        : Optional.empty();
            case QUEUED ->
                left == QUEUED_BYTES ? Optional.of(new BalanceMessage.Queued(datagram.getInt())) : Optional.empty();
            case REJECTED -> left == REJECTED_BYTES ? Optional.of(decodeRejected(datagram)) : Optional.empty();
            case FAILED -> decodeProcess(datagram).map(BalanceMessage.Failed::new);
            case ERRED -> decodeProcess(datagram).map(BalanceMessage.Erred::new);
            case REPORT -> left == REPORT_BYTES ? Optional.of(decodeReport(datagram)) : Optional.empty();
            default -> Optional.empty();
        };
    }

    private static Optional<UpstreamProcessId> decodeProcess(ByteBuffer datagram) {
        return datagram.remaining() == Long.BYTES
                ? Optional.of(new UpstreamProcessId(datagram.getLong()))
                : Optional.empty();
    }

    private static Optional<BalanceMessage> decodeQuery(ByteBuffer datagram) {
        int candidateBytes = datagram.remaining() - QUERY_BYTES;
        if (candidateBytes <= 0 || candidateBytes % CANDIDATE_BYTES != 0) {
            return Optional.empty();
        }
        int number = datagram.getInt();
        long service = datagram.getLong();
        RequestTerms terms = new RequestTerms(
                datagram.get(), datagram.getInt(), datagram.getInt(), datagram.getInt(), datagram.getInt());
        List<Candidate> candidates = IntStream.range(0, candidateBytes / CANDIDATE_BYTES)
                .mapToObj(i -> candidate(datagram))
                .toList();
        return Optional.of(new BalanceMessage.Query(number, service, terms, candidates));
    }

    private static byte flags(Candidate candidate) {
        return (byte) ((candidate.local() ? LOCAL_FLAG : 0) | (candidate.ejected() ? EJECTED_FLAG : 0));
    }

    private static Candidate candidate(ByteBuffer datagram) {
        UpstreamProcessId upstream = new UpstreamProcessId(datagram.getLong());
        int flags = datagram.get();
        return new Candidate(upstream, (flags & LOCAL_FLAG) != 0, (flags & EJECTED_FLAG) != 0);
    }

    private static BalanceMessage decodeRejected(ByteBuffer datagram) {
        int number = datagram.getInt();
        return new BalanceMessage.Rejected(
                number, Math.max(0, Math.min(ServiceQueue.MAX_RETRY_AFTER_MS, datagram.getInt())));
    }

    private static BalanceMessage decodeReport(ByteBuffer datagram) {
        UpstreamProcessId upstream = new UpstreamProcessId(datagram.getLong());
        UpstreamReport report = UpstreamReport.of(
                datagram.getInt(),
                datagram.getInt(),
                OptionalInt.of(datagram.getInt()),
                OptionalInt.of(datagram.getInt()));
        int tookMillis = datagram.getInt();
        return new BalanceMessage.Report(upstream, tookMillis > 0 ? report.after(tookMillis) : report);
    }
}
