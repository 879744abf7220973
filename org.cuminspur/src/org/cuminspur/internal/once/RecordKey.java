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
 * The store key of one action's record; immutable.
 *
 * <p>Keys end in hashes of equal length, so no key is a prefix of another. The keys of dated actions sort by time, so
 * that old ones can be listed second by second.
 *
 * @param storeKey the key in the store
 * @param keyTimeMillis timestamp of the idempotency key, or empty if it carries none
 */
public record RecordKey(String storeKey, OptionalLong keyTimeMillis) {
    /** Store key of the {@link ExpiryFloor}. */
    public static final String FLOOR_KEY = StoreKeys.ONCE_PREFIX + "floor";
    /** Store key of the epoch second before which expired records have been deleted. */
    public static final String SWEPT_KEY = StoreKeys.ONCE_PREFIX + "swept";

    private static final String DATED_PREFIX = StoreKeys.ONCE_PREFIX + "dated/";
    private static final String UNDATED_PREFIX = StoreKeys.ONCE_PREFIX + "undated/";
    private static final Pattern UUID_V7 =
            Pattern.compile("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}");
    private static final int HEX_RADIX = 16;

    /** Returns the key of an action's record. */
    public static RecordKey of(ActionId action) {
        OptionalLong time = uuidMillis(action.key().value());
        String hash = sha256Hex(action.canonicalText());
        return new RecordKey(
                time.isPresent() ? secondPrefix(time.getAsLong() / 1_000) + hash : UNDATED_PREFIX + hash, time);
    }

    /** Returns the prefix of all records whose idempotency keys are dated within a second. */
    static String secondPrefix(long epochSecond) {
        return DATED_PREFIX + String.format(Locale.ROOT, "%012d", epochSecond) + "/";
    }

    /** Returns whether the idempotency key is dated before a floor. */
    boolean isBelow(long floorMillis) {
        return keyTimeMillis.isPresent() && keyTimeMillis.getAsLong() < floorMillis;
    }

    private static OptionalLong uuidMillis(String key) {
        String lowerCase = key.toLowerCase(Locale.ROOT);
        if (!UUID_V7.matcher(lowerCase).matches()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(lowerCase.substring(0, 8) + lowerCase.substring(9, 13), HEX_RADIX));
    }

    private static String sha256Hex(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
