package org.cuminspur.id;

/**
 * Names a part of a prompt by the hash of its content.
 *
 * <p>Immutable, with value equality; safe to share between threads.
 */
public record PromptPartId(long hash) {
    @Override
    public String toString() {
        return Long.toHexString(hash);
    }
}
