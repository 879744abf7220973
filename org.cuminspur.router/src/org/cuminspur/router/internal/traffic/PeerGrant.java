package org.cuminspur.router.internal.traffic;

/**
 * What another instance lets this one do with a caller's request; immutable.
 *
 * @param host address of the other instance
 * @param runs upstreams that may run it, at least 1
 */
record PeerGrant(String host, int runs) {}
