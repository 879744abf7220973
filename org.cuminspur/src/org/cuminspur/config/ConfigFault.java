package org.cuminspur.config;

/**
 * A fault found in an operator's file; immutable.
 *
 * @param file the file's name
 * @param line line counted from one, or 0 if the fault belongs to no line
 * @param key the section and key at fault, such as {@code route drafts.deadline}
 * @param message what is wrong, and what would be right
 */
public record ConfigFault(String file, int line, String key, String message) {
    @Override
    public String toString() {
        return file + ":" + line + ": " + key + ": " + message;
    }
}
