package org.cuminspur.store;

import io.vavr.control.Either;
import java.util.function.Consumer;

/**
 * The platform's key-value service.
 *
 * <p>Calls are asynchronous; each reply is delivered exactly once, possibly on another thread. Implementations are
 * thread-safe. A value is at most 1 MB of UTF-8.
 *
 * <p>A store may come back from a copy and lose what it had acknowledged; that begins an era. Revisions and leases of an
 * earlier era are no longer valid: a condition on such a revision does not hold and such a lease has expired, as soon as an
 * implementation knows of the later era. A write that was sent before may still be applied in it.
 */
public interface Store {
    /** Reads all keys that start with {@code prefix}, in key order. */
    void range(String prefix, Consumer<Either<StoreFault, StoreView>> reply);

    /** Commits a transaction; the result states the era in which it was applied. */
    void commit(Txn txn, Consumer<Either<StoreFault, TxnResult>> reply);

    /** Grants a lease of {@code ttlSeconds}; the reply holds it. */
    void grantLease(long ttlSeconds, Consumer<Either<StoreFault, StoreLease>> reply);

    /** Keeps a lease alive; the reply holds the remaining seconds, 0 or less if it has expired. */
    void keepAlive(StoreLease lease, Consumer<Either<StoreFault, Long>> reply);
}
