package org.cuminspur.publish;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cuminspur.config.ConfigFault;

/** Limits files to sizes that the store and the links between routers carry; stateless and thread-safe. */
final class PublishLimits {
    /** The most bytes of one file. */
    static final int MAX_FILE_BYTES = 1_000_000;
    /** The most bytes of all files together. */
    static final int MAX_TOTAL_BYTES = 3_000_000;

    private PublishLimits() {}

    /** Returns a fault for each limit that the files exceed. */
    static List<ConfigFault> check(Map<String, String> texts) {
        List<ConfigFault> faults = new ArrayList<>();
        long total = 0;
        for (Map.Entry<String, String> file : texts.entrySet()) {
            int bytes = file.getValue().getBytes(StandardCharsets.UTF_8).length;
            total += bytes;
            if (bytes > MAX_FILE_BYTES) {
                faults.add(fault(
                        file.getKey(), "the file has " + bytes + " bytes, but may have at most " + MAX_FILE_BYTES));
            }
        }
        if (total > MAX_TOTAL_BYTES) {
            faults.add(fault(
                    "(all files)", "the files have " + total + " bytes, but may have at most " + MAX_TOTAL_BYTES));
        }
        return faults;
    }

    private static ConfigFault fault(String file, String message) {
        return new ConfigFault(file, 0, "size", message);
    }
}
