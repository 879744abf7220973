package org.cuminspur.traffic;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * IP address and port of a process; immutable.
 *
 * @param host IP address, never a name, so that no lookup is needed; version 6 in brackets
 * @param port from 1 to 65535
 */
public record NetworkAddress(String host, int port) {
    private static final int MAX_PORT = 65_535;
    private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
    private static final String IPV4 = OCTET + "(?:\\." + OCTET + "){3}";
    private static final String IPV6 = "\\[[0-9a-fA-F:]{2,39}]";
    private static final Pattern FORMAT = Pattern.compile("(" + IPV4 + "|" + IPV6 + "):([0-9]{1,5})");

    /** Returns the address in a text such as {@code 10.0.0.1:7355}, empty if it is malformed. */
    public static Optional<NetworkAddress> parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches() || !isHost(matcher.group(1))) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(2));
        return port > 0 && port <= MAX_PORT
                ? Optional.of(new NetworkAddress(matcher.group(1), port))
                : Optional.empty();
    }

    /** Checks the groups of an address of version 6, which the format does not count. */
    private static boolean isHost(String host) {
        try {
            return new URI("http://" + host).parseServerAuthority().getHost() != null;
        } catch (URISyntaxException e) {
            return false;
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
