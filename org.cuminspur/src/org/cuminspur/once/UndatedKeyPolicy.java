package org.cuminspur.once;

/** What becomes of idempotency keys that do not carry their time; immutable. */
public enum UndatedKeyPolicy {
    /** They are accepted, and their records are never deleted, because their age cannot be told. */
    KEEP,
    /** They are refused. */
    REFUSE
}
