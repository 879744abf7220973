package org.cuminspur.internal.ini;

/**
 * One key with its value; immutable.
 *
 * @param line line in the file, counted from one
 */
public record IniEntry(String key, String value, int line) {}
