package org.cuminspur.traffic;

/** How a simulated instance is out of step with its fleet. */
enum OutOfStep {
    /** Sees no change of the store. */
    CUT_FROM_STORE(false, true),
    /** Exchanges no messages with other instances. */
    CUT_FROM_OTHERS(true, false),
    CUT_FROM_BOTH(false, false),
    /** Stands still; what comes meanwhile waits until it wakes. */
    FROZEN(false, true);

    private final boolean seesStore;
    private final boolean seesOthers;

    OutOfStep(boolean seesStore, boolean seesOthers) {
        this.seesStore = seesStore;
        this.seesOthers = seesOthers;
    }

    boolean seesStore() {
        return seesStore;
    }

    boolean seesOthers() {
        return seesOthers;
    }
}
