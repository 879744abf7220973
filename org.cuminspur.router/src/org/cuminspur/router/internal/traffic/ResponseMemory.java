package org.cuminspur.router.internal.traffic;

import java.nio.ByteBuffer;
import org.cuminspur.memory.ResponseBudget;

/**
 * Memory in which responses are read and held for their callers; used on the traffic thread.
 *
 * <p>A read takes no more than the budget allows at the moment, since its bytes are held if the caller reads nothing.
 */
final class ResponseMemory {
    private final ByteBuffer buffer;
    private final ResponseBudget budget;

    /**
     * Creates a memory in which nothing is held.
     *
     * @param bufferBytes largest read
     */
    ResponseMemory(int bufferBytes, ResponseBudget budget) {
        this.buffer = ByteBuffer.allocateDirect(bufferBytes);
        this.budget = budget;
    }

    /** Returns an empty buffer for one read, used within one call at a time. */
    ByteBuffer readBuffer() {
        return buffer.clear().limit(Math.min(buffer.capacity(), budget.readBytes()));
    }

    ResponseBudget budget() {
        return budget;
    }
}
