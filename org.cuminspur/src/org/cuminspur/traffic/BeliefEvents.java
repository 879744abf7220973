package org.cuminspur.traffic;

import org.cuminspur.event.EventSink;

/** Logs what changed in an instance's view of the fleet; stateless and thread-safe. */
final class BeliefEvents {
    private BeliefEvents() {}

    static void emit(EventSink events, FleetFact fact, long storeRevision) {
        if (fact instanceof FleetFact.Published published) {
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
        } else if (fact instanceof FleetFact.UpstreamSeen seen) {
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
                    entry.bornMillis(),
                    "leaving",
                    entry.leaving(),
                    "coldLeftMillis",
                    entry.coldLeftMillis());
        } else if (fact instanceof FleetFact.UpstreamGone gone) {
            events.emit("upstream-gone", "upstream", gone.id().value(), "storeRevision", storeRevision);
        } else if (fact instanceof FleetFact.DomainEmptied out) {
            events.emit("domain-emptied", "domain", out.domain().value(), "storeRevision", storeRevision);
        } else if (fact instanceof FleetFact.DomainRestored back) {
            events.emit("domain-restored", "domain", back.domain().value(), "storeRevision", storeRevision);
        } else if (fact instanceof FleetFact.InstanceSeen seen) {
            events.emit("instance-seen", "instance", seen.id().value(), "storeRevision", storeRevision);
        }
    }
}
