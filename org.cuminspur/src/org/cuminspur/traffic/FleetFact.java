package org.cuminspur.traffic;

import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;

/** What one entry of the platform's store says; each kind is an immutable record. */
public sealed interface FleetFact {
    /** A configuration was published. */
    record Published(TrafficConfig config) implements FleetFact {}

    /** An upstream says something of itself. */
    record UpstreamSeen(UpstreamEntry entry) implements FleetFact {}

    /** An upstream's entry is no longer there. */
    record UpstreamGone(UpstreamId id) implements FleetFact {}

    /** Operators take a failure domain out of service. */
    record DomainEmptied(FailureDomainId domain) implements FleetFact {}

    /** Operators bring a failure domain back. */
    record DomainRestored(FailureDomainId domain) implements FleetFact {}

    /** An instance of the fleet is up. */
    record InstanceSeen(InstanceId id) implements FleetFact {}

    /** An instance's entry is no longer there. */
    record InstanceGone(InstanceId id) implements FleetFact {}

    /** The fleet has stored which upstream keeps which prompts. */
    record PromptsKept(ServiceId service, PromptTable table) implements FleetFact {}

    /** The entry cannot be read, and says nothing. */
    record Malformed(String reason) implements FleetFact {}

    /** The entry is none of this system's. */
    record Irrelevant() implements FleetFact {}
}
