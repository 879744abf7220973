package org.cuminspur.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;

/**
 * Where a command prints: results to the standard output, progress and errors to the standard error output.
 *
 * <p>Used by one thread.
 */
record Console(PrintStream out, PrintStream err) {
    void line(String text) {
        out.println(text);
    }

    void json(JsonNode node) {
        out.println(node.toPrettyString());
    }

    void progress(String text) {
        err.println(text);
    }

    ExitCode fail(String text) {
        err.println("error: " + text);
        return ExitCode.FAILED;
    }
}
