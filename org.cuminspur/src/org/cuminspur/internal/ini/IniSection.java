package org.cuminspur.internal.ini;

import java.util.List;
import java.util.Optional;

/**
 * A section such as {@code [route drafts]}; immutable.
 *
 * @param kind first word of the heading
 * @param name the rest of the heading, empty if there is none
 * @param line line of the heading, counted from one
 * @param entries the keys in file order
 */
public record IniSection(String kind, String name, int line, List<IniEntry> entries) {
    public IniSection {
        entries = List.copyOf(entries);
    }

    /** Returns the first entry of that key. */
    public Optional<IniEntry> entry(String key) {
        return entries.stream().filter(entry -> entry.key().equals(key)).findFirst();
    }
}
