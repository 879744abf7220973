package org.cuminspur.rollout;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.store.StoreRevision;

/**
 * How far a roll-out has come, as the store holds it; immutable.
 *
 * @param orderRevision the store revision that last wrote the order when the roll-out began
 * @param startedWallMillis when the order was given, by the wall clock of the instance that noticed it first
 * @param excluded versions that get no new work: those that were reverted and, from {@link RolloutPhase#PROMOTING}, those
 *     that the target replaces
 */
public record RolloutRecord(
        RolloutOrder order,
        StoreRevision orderRevision,
        RolloutPhase phase,
        long startedWallMillis,
        Set<SoftwareVersion> excluded) {
    private static final String FIELD_SEPARATOR = " ";
    private static final String VERSION_SEPARATOR = ",";
    private static final int FIELDS = 7;

    public RolloutRecord {
        excluded = Set.copyOf(excluded);
    }

    /** Decodes the text of {@link #encode}; throws {@link IllegalArgumentException} if it is malformed. */
    public static RolloutRecord decode(ServiceId service, String text) {
        String[] fields = text.split(FIELD_SEPARATOR, -1);
        if (fields.length != FIELDS) {
            throw new IllegalArgumentException("a roll-out record has " + fields.length + " fields");
        }
        return new RolloutRecord(
                new RolloutOrder(service, decodeVersion(fields[1]), Long.parseLong(fields[2])),
                new StoreRevision(Long.parseLong(fields[4]), Long.parseLong(fields[5])),
                RolloutPhase.valueOf(fields[0]),
                Long.parseLong(fields[3]),
                Stream.of(fields[6].split(VERSION_SEPARATOR, -1))
                        .filter(version -> !version.isEmpty())
                        .map(RolloutRecord::decodeVersion)
                        .collect(Collectors.toSet()));
    }

    /** Encodes as text: phase, target, duration, start, era and number of the order, excluded versions in URL encoding. */
    String encode() {
        return String.join(
                FIELD_SEPARATOR,
                phase.name(),
                encode(order.target()),
                Long.toString(order.durationMillis()),
                Long.toString(startedWallMillis),
                Long.toString(orderRevision.era()),
                Long.toString(orderRevision.number()),
                excluded.stream().map(RolloutRecord::encode).sorted().collect(Collectors.joining(VERSION_SEPARATOR)));
    }

    /** Returns whether this is of the same roll-out as another record. */
    boolean sameRollout(RolloutRecord other) {
        return order.equals(other.order) && orderRevision.equals(other.orderRevision);
    }

    private static String encode(SoftwareVersion version) {
        return URLEncoder.encode(version.value(), StandardCharsets.UTF_8);
    }

    private static SoftwareVersion decodeVersion(String text) {
        return new SoftwareVersion(URLDecoder.decode(text, StandardCharsets.UTF_8));
    }
}
