package org.cuminspur.traffic;

import org.cuminspur.event.EventSink;
import org.cuminspur.store.StoreRevision;

/** Logs changes in an instance's view of the fleet; stateless and thread-safe. */
final class FleetChangeEvents {
    private FleetChangeEvents() {}

    static void emit(EventSink events, FleetUpdate update, StoreRevision storeRevision) {
        if (update instanceof FleetUpdate.ConfigPublished configPublished) {
            TrafficConfig config = configPublished.config();
            events.emit(
                    "config-applied",
                    "revision",
                    config.revision().value(),
                    "storeEra",
                    storeRevision.era(),
                    "storeRevision",
                    storeRevision.number(),
                    "routes",
                    config.routes().size(),
                    "keys",
                    config.accountsByKey().size());
        } else if (update instanceof FleetUpdate.UpstreamUpdated updated) {
            UpstreamEntry entry = updated.entry();
            events.emit(
                    "upstream-seen",
                    "upstream",
                    entry.id().value(),
                    "storeRevision",
                    storeRevision.number(),
                    "service",
                    entry.service().value(),
                    "version",
                    entry.version().value(),
                    "born",
                    entry.startedMillis(),
                    "leaving",
                    entry.draining(),
                    "coldLeftMillis",
                    entry.remainingWarmupMillis());
        } else if (update instanceof FleetUpdate.UpstreamRemoved removed) {
            events.emit("upstream-gone", "upstream", removed.id().value(), "storeRevision", storeRevision.number());
        } else if (update instanceof FleetUpdate.DomainDrained drained) {
            events.emit("domain-emptied", "domain", drained.domain().value(), "storeRevision", storeRevision.number());
        } else if (update instanceof FleetUpdate.DomainRestored restored) {
            events.emit(
                    "domain-restored", "domain", restored.domain().value(), "storeRevision", storeRevision.number());
        } else if (update instanceof FleetUpdate.InstanceRegistered registered) {
            events.emit("instance-seen", "instance", registered.id().value(), "storeRevision", storeRevision.number());
        }
    }
}
