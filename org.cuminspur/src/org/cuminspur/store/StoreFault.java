package org.cuminspur.store;

/** The ways a call to the platform's store can fail; immutable. */
public enum StoreFault {
    /** The call had no effect: it was not sent, or the store rejected it. */
    NOT_DONE,
    /** The reply was lost: a write may have taken effect. */
    UNKNOWN
}
