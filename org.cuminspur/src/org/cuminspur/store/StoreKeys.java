package org.cuminspur.store;

import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.Revision;
import org.cuminspur.id.UpstreamId;

/** Names the keys that the fleet keeps in the platform's store; stateless and thread-safe. */
public final class StoreKeys {
    /** Prefix of all that operators say: the configuration's head, its files, and orders; one watch covers it. */
    public static final String CONFIG_PREFIX = "cuminspur/config/";
    /** Prefix of the configuration's head and of orders, which are small enough to read often. */
    public static final String CURRENT_PREFIX = CONFIG_PREFIX + "current/";
    /** Number, publication id and file revisions of the newest configuration. */
    public static final String CONFIG_HEAD = CURRENT_PREFIX + "head";
    /** Prefix of configuration files. */
    public static final String CONFIG_FILE_PREFIX = CONFIG_PREFIX + "file/";
    /** Prefix of orders to take out and bring back. */
    public static final String ORDER_PREFIX = CURRENT_PREFIX + "order/";
    /** Number of newest publications whose ids are kept. */
    public static final int RETAINED_PUBLICATIONS = 4_096;

    /** Prefix of the records of actions that must run at most once. */
    public static final String ONCE_PREFIX = "cuminspur/once/";

    private static final String PUBLICATION_PREFIX = "cuminspur/publication/";

    private StoreKeys() {}

    /** Returns the key that holds the publication id of a revision until {@link #RETAINED_PUBLICATIONS} later ones. */
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
