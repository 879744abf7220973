package org.cuminspur.traffic;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes of all request bodies that an instance holds at a time; thread-safe.
 *
 * <p>Load pattern: many callers send large bodies at once, or begin them and stop. Each is within its own limit, and together
 * they would take the memory that the requests of the others need.
 */
public final class BodyBudget {
    /** Part of the heap that bodies may take; a body is copied once while it arrives. */
    private static final int HEAP_PARTS = 6;

    /** Largest body for which a part of the budget is kept free. */
    static final long SMALL_BODY_BYTES = 16 * 1_024;

    /** One of so many parts of the budget is kept for small bodies. */
    private static final int SMALL_PARTS = 4;

    private final long capacityBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    public BodyBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** Returns a budget of a part of this process's heap. */
    public static BodyBudget ofHeap() {
        return new BodyBudget(Runtime.getRuntime().maxMemory() / HEAP_PARTS);
    }

    /**
     * Reserves bytes if they are free; returns whether they were.
     *
     * @param bodyBytes size of the whole body as far as it is known; a small one finds room when large ones do not
     */
    public boolean tryReserve(long bytes, long bodyBytes) {
        long allowedBytes = bodyBytes <= SMALL_BODY_BYTES ? capacityBytes : capacityBytes - capacityBytes / SMALL_PARTS;
        boolean reserved = reservedBytes.addAndGet(bytes) <= allowedBytes;
        if (!reserved) {
            release(bytes);
        }
        return reserved;
    }

    /** Gives reserved bytes back. */
    public void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }

    public long reservedBytes() {
        return reservedBytes.get();
    }
}
