package org.cuminspur.internal.once;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.cuminspur.once.ActionId;
import org.cuminspur.store.StoreKeys;

/**
 * Names the store's key of one action's record; immutable.
 *
 * <p>Keys are hashes of one length, so no key is a prefix of another. The keys of dated actions sort by their time, so
 * that old ones can be listed second by second.
 *
 * @param storeKey the store's key
 * @param timeMillis when the idempotency key was made, empty if it does not tell
 */
public record RecordKey(String storeKey, OptionalLong timeMillis) {
    /** Revision-guarded bound on the age of dated keys. */
    public static final String FLOOR = StoreKeys.ONCE_PREFIX + "floor";
    /** How far records below the floor have been deleted. */
    public static final String SWEPT = StoreKeys.ONCE_PREFIX + "swept";

    private static final String DATED = StoreKeys.ONCE_PREFIX + "dated/";
    private static final String UNDATED = StoreKeys.ONCE_PREFIX + "undated/";
    private static final Pattern UUID_V7 =
            Pattern.compile("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}");
    private static final int HEX = 16;

    /** Returns the key of an action's record. */
    public static RecordKey of(ActionId action) {
        OptionalLong time = time(action.key().value());
        String hash = hash(action.label());
        return new RecordKey(time.isPresent() ? second(time.getAsLong() / 1_000) + hash : UNDATED + hash, time);
    }

    /** Returns the prefix of all records whose idempotency keys were made within a second. */
    static String second(long epochSecond) {
        return DATED + String.format(Locale.ROOT, "%012d", epochSecond) + "/";
    }

    /** Returns whether the record is gone for good at a floor. */
    boolean below(long floorMillis) {
        return timeMillis.isPresent() && timeMillis.getAsLong() < floorMillis;
    }

    private static OptionalLong time(String key) {
        String lower = key.toLowerCase(Locale.ROOT);
        if (!UUID_V7.matcher(lower).matches()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(lower.substring(0, 8) + lower.substring(9, 13), HEX));
    }

    private static String hash(String label) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(label.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
