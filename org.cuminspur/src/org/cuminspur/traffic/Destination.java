package org.cuminspur.traffic;

/** Another process that requests are sent to; implementations differ by {@code equals}. */
public interface Destination {
    /** Returns its IP address. */
    String host();

    /** Returns the port at which it accepts connections, from 1 to 65535. */
    int port();
}
