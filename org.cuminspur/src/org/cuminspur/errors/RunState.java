package org.cuminspur.errors;

/** Says whether a request that was not answered in full has run at an upstream; immutable. */
public enum RunState {
    /** No byte of the request reached an upstream: the caller may repeat it safely. */
    NOT_RUN("not-run"),
    /** The request has run. */
    RAN("ran"),
    /** The request may have run. */
    UNKNOWN("unknown");

    private final String label;

    RunState(String label) {
        this.label = label;
    }

    /** Returns the text used in answers and logs. */
    public String label() {
        return label;
    }
}
