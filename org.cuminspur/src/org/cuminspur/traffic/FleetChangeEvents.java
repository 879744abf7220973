package org.cuminspur.traffic;

import org.cuminspur.event.EventSink;

/** Logs what changed in an instance's view of the fleet; stateless and thread-safe. */
final class FleetChangeEvents {
    private FleetChangeEvents() {}

    static void emit(EventSink events, FleetUpdate fact, long storeRevision) {
        if (fact instanceof FleetUpdate.ConfigPublished published) {
            TrafficConfig config = published.config();
            events.emit(
                    "config-applied",
                    "revision",
                    config.revision().value(),
                    "storeRevision",
                    storeRevision,
                    "routes",
                    config.routes().size(),
                    "keys",
                    config.accountsByKey().size());
        } else if (fact instanceof FleetUpdate.UpstreamUpdated seen) {
            UpstreamEntry entry = seen.entry();
            events.emit(
                    "upstream-seen",
                    "upstream",
                    entry.id().value(),
                    "storeRevision",
                    storeRevision,
                    "service",
                    entry.service().value(),
                    "born",
                    entry.startedMillis(),
                    "leaving",
                    entry.draining(),
                    "coldLeftMillis",
                    entry.remainingWarmupMillis());
        } else if (fact instanceof FleetUpdate.UpstreamRemoved gone) {
            events.emit("upstream-gone", "upstream", gone.id().value(), "storeRevision", storeRevision);
        } else if (fact instanceof FleetUpdate.DomainDrained out) {
            events.emit("domain-emptied", "domain", out.domain().value(), "storeRevision", storeRevision);
        } else if (fact instanceof FleetUpdate.DomainRestored back) {
            events.emit("domain-restored", "domain", back.domain().value(), "storeRevision", storeRevision);
        } else if (fact instanceof FleetUpdate.InstanceRegistered seen) {
            events.emit("instance-seen", "instance", seen.id().value(), "storeRevision", storeRevision);
        }
    }
}
