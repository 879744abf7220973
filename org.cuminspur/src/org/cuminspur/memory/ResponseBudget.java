package org.cuminspur.memory;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes of all responses that an instance holds for callers who read slowly; thread-safe.
 *
 * <p>Load pattern: very many callers read slowly, or not at all, at the same time. Each response may hold a fixed part of what
 * is free, as queues in the shared memory of a switch do (dynamic thresholds). So few of them hold as much as is useful, many
 * share the memory, and a response that begins always gets some. A response that holds its share is not read from its
 * upstream. All hold no more than the capacity and two least shares each.
 */
public final class ResponseBudget {
    /** What one response holds at most; more does not make a quick caller's response quicker. */
    static final int MAX_SHARE_BYTES = 64 * 1_024;

    /** What one response may always hold, which is some events of a stream. */
    static final int MIN_SHARE_BYTES = 1_024;

    /** Part of the heap for responses; with the least shares of 4,096 callers it is a fifth of 120 MB. */
    static final int HEAP_PARTS = 8;

    /** One response may hold one of so many parts of what is free. */
    private static final int FREE_PARTS = 16;

    /** A read takes one of so many parts of a share that is not the largest. */
    private static final int READ_PARTS = 8;

    private final long capacityBytes;
    private final AtomicLong heldBytes = new AtomicLong();

    public ResponseBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** Returns a budget of a part of this process's heap. */
    public static ResponseBudget ofHeap() {
        return ofHeap(Runtime.getRuntime().maxMemory());
    }

    static ResponseBudget ofHeap(long heapBytes) {
        return new ResponseBudget(heapBytes / HEAP_PARTS);
    }

    /** Records that bytes are held, which have been read already. */
    public void hold(int bytes) {
        heldBytes.addAndGet(bytes);
    }

    /** Records that bytes are no longer held. */
    public void release(int bytes) {
        heldBytes.addAndGet(-bytes);
    }

    /** Returns the bytes that one response may hold at the moment. */
    public int shareBytes() {
        long freeBytes = Math.max(0, capacityBytes - heldBytes.get());
        return (int) Math.max(MIN_SHARE_BYTES, Math.min(MAX_SHARE_BYTES, freeBytes / FREE_PARTS));
    }

    /** Returns the largest read of a response at the moment; what is read has to be held, so it is small beside the share. */
    public int readBytes() {
        int share = shareBytes();
        return share == MAX_SHARE_BYTES ? MAX_SHARE_BYTES : Math.max(MIN_SHARE_BYTES, share / READ_PARTS);
    }

    /** Returns the bytes that all responses hold. */
    public long heldBytes() {
        return heldBytes.get();
    }
}
