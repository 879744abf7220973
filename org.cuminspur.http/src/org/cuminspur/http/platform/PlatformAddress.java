package org.cuminspur.http.platform;

/**
 * Address of the platform's services; immutable.
 *
 * @param host IP address
 */
public record PlatformAddress(String host, int port) {}
