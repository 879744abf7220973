package org.cuminspur.traffic;

/** What an instance believes of an upstream's process; immutable. */
public enum UpstreamStanding {
    READY,
    /** Its failure domain is drained. */
    DOMAIN_DRAINED,
    /** Its entry or one of its responses says that it leaves. */
    LEAVING,
    /** Its entry is gone, or names a later process. */
    GONE
}
