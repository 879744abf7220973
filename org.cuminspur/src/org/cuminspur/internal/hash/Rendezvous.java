package org.cuminspur.internal.hash;

import net.openhft.hashing.LongHashFunction;

/**
 * Weighted rendezvous hashing: each pair of key and node has a score, and the node with the highest score owns the key.
 *
 * <p>Stateless and thread-safe. All routers compute the same scores, and a node that leaves moves only its own keys.
 */
public final class Rendezvous {
    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final double UNIT = 0x1.0p-53;

    private Rendezvous() {}

    /** Returns the hash of a name. */
    public static long hash(String name) {
        return HASH.hashChars(name);
    }

    /** Returns a well-mixed hash of two hashes. */
    public static long mix(long a, long b) {
        long z = a ^ Long.rotateLeft(b, 32) * 0x9E3779B97F4A7C15L;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    /** Maps a hash to a number from 0 to 1, both excluded. */
    public static double toUnitInterval(long hash) {
        return ((hash >>> 11) + 0.5) * UNIT;
    }

    /** Returns false only if a node at {@code unit} cannot score above {@code score}; cheaper than the score. */
    public static boolean mayExceed(double unit, double weight, double score) {
        // -ln(u) >= 1 - u, so weight / (1 - u) is an upper bound of the score.
        return weight > score * (1 - unit);
    }

    /** Returns the score of a node whose hash with the key maps to {@code unit}. */
    public static double scoreOfUnit(double unit, double weight) {
        return -weight / Math.log(unit);
    }

    /** Returns the score of a node for a key; a node's share of keys is proportional to its weight. */
    public static double score(long key, long node, double weight) {
        return scoreOfUnit(toUnitInterval(mix(key, node)), weight);
    }
}
