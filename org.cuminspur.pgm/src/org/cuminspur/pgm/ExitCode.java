package org.cuminspur.pgm;

/** The exit codes of the operators' command; immutable. */
public enum ExitCode {
    DONE(0),
    FAILED(1),
    WRONG_USAGE(2);

    private final int value;

    ExitCode(int value) {
        this.value = value;
    }

    /** Returns the process's exit code. */
    public int value() {
        return value;
    }
}
