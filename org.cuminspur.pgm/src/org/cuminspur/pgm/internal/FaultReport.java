package org.cuminspur.pgm.internal;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import org.cuminspur.config.ConfigFault;
import org.cuminspur.pgm.ExitCode;

/** Prints the faults of operators' files; stateless and thread-safe. */
public final class FaultReport {
    private static final ObjectMapper JSON = new ObjectMapper();

    private FaultReport() {}

    /** Prints the faults and returns how the command ends. */
    public static ExitCode print(List<ConfigFault> faults, boolean json, PrintStream out) {
        if (json) {
            out.println(json(faults));
        } else {
            faults.forEach(out::println);
            out.println(faults.size() + (faults.size() == 1 ? " fault" : " faults"));
        }
        return faults.isEmpty() ? ExitCode.DONE : ExitCode.FAILED;
    }

    private static String json(List<ConfigFault> faults) {
        ObjectNode root = JSON.createObjectNode();
        ArrayNode array = root.putArray("faults");
        faults.forEach(fault -> array.addObject()
                .put("file", fault.file())
                .put("line", fault.line())
                .put("key", fault.key())
                .put("message", fault.message()));
        return root.toPrettyString();
    }
}
