package org.cuminspur.store;

import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.UpstreamId;

/** Names the keys that the fleet keeps in the platform's store; stateless and thread-safe. */
public final class StoreKeys {
    /** Prefix of the configuration: its head and its files. */
    public static final String CONFIG = "cuminspur/config/";
    /** Number, publication id and file revisions of the newest configuration. */
    public static final String CONFIG_HEAD = CONFIG + "head";
    /** Prefix of configuration files. */
    public static final String CONFIG_FILE = CONFIG + "file/";
    /** Prefix of orders to take out and bring back. */
    public static final String ORDER = "cuminspur/order/";
    /** Prefix of the records of actions that must run at most once. */
    public static final String ONCE = "cuminspur/once/";

    private StoreKeys() {}

    /** Returns the key of an order about a failure domain. */
    public static String order(FailureDomainId domain) {
        return ORDER + "domain/" + domain;
    }

    /** Returns the key of an order about an upstream. */
    public static String order(UpstreamId upstream) {
        return ORDER + "upstream/" + upstream;
    }
}
