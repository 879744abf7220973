package org.cuminspur.traffic;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Address at which an instance receives datagrams and requests of other instances; immutable.
 *
 * @param host IP address, never a name, so that no lookup is needed
 * @param port from 1 to 65535
 */
public record PeerAddress(String host, int port) {
    private static final int MAX_PORT = 65_535;
    private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
    private static final String IPV4 = OCTET + "(?:\\." + OCTET + "){3}";
    private static final String IPV6 = "\\[[0-9a-fA-F:]{2,39}]";
    private static final Pattern FORMAT = Pattern.compile("(" + IPV4 + "|" + IPV6 + "):([0-9]{1,5})");

    /** Returns the address in a text such as {@code 10.0.0.1:7355}, empty if it is malformed. */
    public static Optional<PeerAddress> parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(2));
        return port > 0 && port <= MAX_PORT ? Optional.of(new PeerAddress(matcher.group(1), port)) : Optional.empty();
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
