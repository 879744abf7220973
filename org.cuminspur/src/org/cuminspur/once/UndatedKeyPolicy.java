package org.cuminspur.once;

/** Treatment of idempotency keys that carry no timestamp; immutable. */
public enum UndatedKeyPolicy {
    /** Accept them, and never delete their records, because their age is unknown. */
    KEEP,
    /** Refuse them. */
    REFUSE
}
