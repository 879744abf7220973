package org.cuminspur.traffic;

/** How a simulated instance treats the eras of the store; all but the first are known to fail. */
enum EraPolicy {
    /** As the product does. */
    PRODUCT,
    /** Compares revisions by their numbers. */
    IGNORES_ERAS,
    /** Learns of an era from reads of all keys alone. */
    NOTICES_BY_READ,
    /** Starts from nothing in each era. */
    FORGETS_ALL,
    /** Trusts its view only in the era in which it started. */
    NEVER_CONFIRMS_AGAIN
}
