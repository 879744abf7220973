package org.cuminspur.fuzz;

import java.util.Arrays;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Corrupts byte sequences at random, reproducibly from a fixed seed; used by one thread. */
final class Mutator {
    private static final int MAX_CHANGES = 8;

    private final RandomGenerator random;

    Mutator(long seed) {
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    /** Returns a copy with some bytes changed, dropped, duplicated or truncated. */
    byte[] mutate(byte[] original) {
        byte[] bytes = original.clone();
        int changes = 1 + random.nextInt(MAX_CHANGES);
        for (int i = 0; i < changes && bytes.length > 0; i++) {
            bytes = change(bytes, random.nextInt(bytes.length));
        }
        return bytes;
    }

    private byte[] change(byte[] bytes, int at) {
        switch (random.nextInt(4)) {
            case 0 -> bytes[at] = (byte) random.nextInt();
            case 1 -> bytes[at] ^= (byte) (1 << random.nextInt(8));
            case 2 -> {
                return Arrays.copyOf(bytes, at);
            }
            default -> System.arraycopy(bytes, at, bytes, random.nextInt(at + 1), bytes.length - at);
        }
        return bytes;
    }
}
