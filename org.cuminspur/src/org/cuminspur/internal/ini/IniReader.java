package org.cuminspur.internal.ini;

import java.util.ArrayList;
import java.util.List;
import org.cuminspur.config.ConfigFault;

/**
 * Parses INI text and keeps the line of every section and key for reports of faults.
 *
 * <p>Not thread-safe; one reader reads one text.
 */
public final class IniReader {
    private final String file;
    private final List<ConfigFault> faults;
    private final List<IniSection> sections = new ArrayList<>();
    private List<IniEntry> entries = new ArrayList<>();
    private String heading;
    private int headingLine;

    private IniReader(String file, List<ConfigFault> faults) {
        this.file = file;
        this.faults = faults;
    }

    /** Returns the sections of {@code text}; what cannot be read is added to {@code faults}. */
    public static List<IniSection> read(String file, String text, List<ConfigFault> faults) {
        IniReader reader = new IniReader(file, faults);
        String[] lines = text.split("\n", -1);
        for (int i = 0; i < lines.length; i++) {
            reader.parseLine(lines[i].strip(), i + 1);
        }
        reader.endSection();
        return List.copyOf(reader.sections);
    }

    private void parseLine(String line, int number) {
        if (line.isEmpty() || line.startsWith(";") || line.startsWith("#")) {
            return;
        }
        if (line.startsWith("[")) {
            startSection(line, number);
            return;
        }
        int equals = line.indexOf('=');
        if (equals <= 0) {
            addFault(number, line, "expected 'key = value'");
            return;
        }
        addEntry(line.substring(0, equals).strip(), line.substring(equals + 1).strip(), number);
    }

    private void startSection(String line, int number) {
        endSection();
        if (!line.endsWith("]") || line.length() < 3) {
            addFault(number, line, "expected '[kind name]'");
            return;
        }
        heading = line.substring(1, line.length() - 1).strip();
        headingLine = number;
    }

    private void addEntry(String key, String value, int number) {
        if (heading == null) {
            addFault(number, key, "appears before the first section");
            return;
        }
        if (entries.stream().anyMatch(entry -> entry.key().equals(key))) {
            addFault(number, heading + "." + key, "is given twice in this section");
            return;
        }
        entries.add(new IniEntry(key, value, number));
    }

    private void endSection() {
        if (heading != null) {
            String[] words = heading.split("\\s+", 2);
            sections.add(new IniSection(words[0], words.length > 1 ? words[1] : "", headingLine, entries));
        }
        heading = null;
        entries = new ArrayList<>();
    }

    private void addFault(int line, String key, String message) {
        faults.add(new ConfigFault(file, line, key, message));
    }
}
