package org.cuminspur.control.message;

import java.util.List;
import java.util.Map;
import org.cuminspur.config.ConfigFile;
import org.cuminspur.control.Order;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.Revision;
import org.cuminspur.id.UpstreamId;

/**
 * A message from one router to another; each kind is an immutable record.
 *
 * <p>Configuration, orders and alerts carry versions by which receivers merge them, and account shares a lifetime, so
 * late, duplicate or reordered delivery is harmless.
 */
public sealed interface PeerMessage {
    /**
     * Summary of the state that a router holds, sent to a few peers.
     *
     * @param config the revision in force
     * @param orders hash over all orders held, independent of their sequence
     * @param stopping whether the sender is stopping
     * @param reply whether the receiver's own digest is wanted in return
     * @param storeAgeMillis how long ago a router last read the store, as far as the sender knows
     * @param lost routers that have recently stopped responding to the sender
     */
    record Digest(
            FailureDomainId domain,
            Revision config,
            long orders,
            boolean stopping,
            boolean reply,
            long storeAgeMillis,
            List<InstanceId> lost)
            implements PeerMessage {
        public Digest {
            lost = List.copyOf(lost);
        }
    }

    /** Asks for a configuration newer than {@code have}. */
    record ConfigRequest(Revision have) implements PeerMessage {}

    /**
     * The files that changed between two revisions.
     *
     * @param base the oldest revision that the receiver may hold, or {@link Revision#NONE} for a whole document
     * @param removed names of files that the newer revision lacks
     * @param files hash over names and revisions of all files of the newer revision
     */
    record ConfigDelta(
            Revision base,
            Revision revision,
            String publication,
            Map<String, ConfigFile> changed,
            List<String> removed,
            long files)
            implements PeerMessage {
        public ConfigDelta {
            changed = Map.copyOf(changed);
            removed = List.copyOf(removed);
        }
    }

    /** Orders that the receiver may lack; {@code reply} asks for the receiver's own in return. */
    record Orders(List<Order> orders, boolean reply) implements PeerMessage {
        public Orders {
            orders = List.copyOf(orders);
        }
    }

    /**
     * Alerts about upstreams that are hot, cold or leaving, or whose weight changed.
     *
     * @param hops how often the alerts were forwarded: 0 to the collector, 1 to relays, 2 to the rest
     */
    record UpstreamAlerts(List<UpstreamAlert> alerts, int hops) implements PeerMessage {
        /** Value of {@code hops} on a message that is not forwarded. */
        public static final int LAST_HOP = 2;

        public UpstreamAlerts {
            alerts = List.copyOf(alerts);
        }
    }

    /**
     * An alert about one upstream; immutable.
     *
     * @param incarnation for {@link Kind#COLD} the start of the upstream's process in milliseconds since the epoch, for
     *     {@link Kind#LEAVING} the hash of the incarnation in the platform's list, otherwise 0
     * @param observedMillis when it was observed, by the observer's clock
     * @param load for {@link Kind#HOT} work in progress as a multiple of the mean, for {@link Kind#WEIGHT} the base
     *     weight, otherwise 0
     */
    record UpstreamAlert(UpstreamId upstream, Kind kind, long incarnation, long observedMillis, double load) {
        /** The kinds of alert. */
        public enum Kind {
            HOT,
            COLD,
            LEAVING,
            WEIGHT
        }
    }

    /** Usage of the sender's heavy accounts; sent to the router that coordinates them. */
    record AccountUsage(List<Usage> usages) implements PeerMessage {
        public AccountUsage {
            usages = List.copyOf(usages);
        }
    }

    /** One account's demand at one router; immutable. */
    record Usage(AccountId account, double requestsPerSecond, double concurrent) {}

    /** Shares of the accounts' limits, granted by the router that coordinates them. */
    record AccountShares(List<Share> shares) implements PeerMessage {
        public AccountShares {
            shares = List.copyOf(shares);
        }
    }

    /** One account's share for one router; immutable. */
    record Share(AccountId account, double requestsPerSecond, double concurrent, long ttlMillis) {}
}
