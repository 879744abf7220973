package org.cuminspur.store;

import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.Revision;
import org.cuminspur.id.UpstreamId;

/** Names the keys that the fleet keeps in the platform's store; stateless and thread-safe. */
public final class StoreKeys {
    /** Prefix of everything that operators set: the configuration head, its files, and orders; one watch covers it. */
    public static final String CONFIG_PREFIX = "cuminspur/config/";
    /** Prefix of the configuration head and of orders, which are small enough to read often. */
    public static final String CURRENT_PREFIX = CONFIG_PREFIX + "current/";
    /** Number, publication id and file revisions of the newest configuration. */
    public static final String CONFIG_HEAD = CURRENT_PREFIX + "head";
    /** Prefix of configuration files. */
    public static final String CONFIG_FILE_PREFIX = CONFIG_PREFIX + "file/";
    /** Prefix of orders to take failure domains or upstreams out of service and to bring them back. */
    public static final String ORDER_PREFIX = CURRENT_PREFIX + "order/";
    /** Number of most recent publications whose ids are kept. */
    public static final int RETAINED_PUBLICATIONS = 4_096;

    /** Prefix of the records of actions that must run at most once. */
    public static final String ONCE_PREFIX = "cuminspur/once/";

    private static final String PUBLICATION_PREFIX = "cuminspur/publication/";

    private StoreKeys() {}

    /** Returns the key of a revision's publication id, overwritten after {@link #RETAINED_PUBLICATIONS} more. */
    public static String publication(Revision revision) {
        return PUBLICATION_PREFIX + String.format("%04d", revision.value() % RETAINED_PUBLICATIONS);
    }

    /** Returns the key of an order about a failure domain. */
    public static String order(FailureDomainId domain) {
        return ORDER_PREFIX + "domain/" + domain;
    }

    /** Returns the key of an order about an upstream. */
    public static String order(UpstreamId upstream) {
        return ORDER_PREFIX + "upstream/" + upstream;
    }
}
