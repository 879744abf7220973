package org.cuminspur.config;

/** The kinds of service behind the routers; immutable. */
public enum ServiceKind {
    /** A model service whose upstreams are engines with prefix caches. */
    ENGINE,
    /** A plain HTTP service. */
    PLAIN
}
