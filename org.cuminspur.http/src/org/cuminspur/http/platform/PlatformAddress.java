package org.cuminspur.http.platform;

/**
 * Where the platform's services listen; immutable.
 *
 * @param host IP address
 */
public record PlatformAddress(String host, int port) {}
