package org.cuminspur.quarantine;

import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import org.cuminspur.id.AccountId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * What is the same in all repeats of a request: its method, path with query, account and body.
 *
 * <p>Not thread-safe. The body is hashed when the whole identity is needed first. Since the account is part of it, a caller
 * that chooses bodies with equal hashes makes its own requests alike, and no others.
 */
public final class RequestIdentity {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    /** Bits of a hash that depend on the body; the others tell most requests apart before it is hashed. */
    private static final int BODY_BITS = 40;

    private static final long BODY_MASK = (1L << BODY_BITS) - 1;

    private final long lineHash;
    private final byte[] body;
    private long hash;
    private boolean hashed;

    /**
     * Creates an identity.
     *
     * @param body shared and not copied; must not change
     */
    public RequestIdentity(String method, String pathAndQuery, Optional<AccountId> account, byte[] body) {
        lineHash = HASH.hashChars(method + " " + pathAndQuery + "\n"
                + account.map(AccountId::value).orElse(""));
        this.body = body;
    }

    /** Returns the first bits of {@link #hash}, which do not depend on the body. */
    int prefix() {
        return prefix(lineHash);
    }

    /** Returns the first bits of the hash of an identity. */
    static int prefix(long hash) {
        return (int) (hash >>> BODY_BITS);
    }

    /** Returns a hash that is equal for repeats, and hardly for others. */
    public long hash() {
        if (!hashed) {
            long bodyHash = Rendezvous.mix(lineHash, HASH.hashBytes(body));
            hash = (lineHash & ~BODY_MASK) | (bodyHash & BODY_MASK);
            hashed = true;
        }
        return hash;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RequestIdentity identity && identity.hash() == hash();
    }

    @Override
    public int hashCode() {
        return Long.hashCode(hash());
    }

    @Override
    public String toString() {
        return Long.toHexString(hash());
    }
}
