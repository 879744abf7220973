package org.cuminspur.traffic;

import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;

/** What one entry of the platform's store says; each kind is an immutable record. */
public sealed interface FleetUpdate {
    /** A configuration was published. */
    record ConfigPublished(TrafficConfig config) implements FleetUpdate {}

    /** An upstream says something of itself. */
    record UpstreamUpdated(UpstreamEntry entry) implements FleetUpdate {}

    /** An upstream's entry is no longer there. */
    record UpstreamRemoved(UpstreamId id) implements FleetUpdate {}

    /** Operators take a failure domain out of service. */
    record DomainDrained(FailureDomainId domain) implements FleetUpdate {}

    /** Operators bring a failure domain back. */
    record DomainRestored(FailureDomainId domain) implements FleetUpdate {}

    /** An instance of the fleet is up. */
    record InstanceRegistered(InstanceId id) implements FleetUpdate {}

    /** An instance's entry is no longer there. */
    record InstanceRemoved(InstanceId id) implements FleetUpdate {}

    /** The fleet has stored which upstream keeps which prompts. */
    record PromptTableStored(ServiceId service, PromptTable table) implements FleetUpdate {}

    /** The entry cannot be read, and says nothing. */
    record Malformed(String reason) implements FleetUpdate {}

    /** The entry is none of this system's. */
    record Irrelevant() implements FleetUpdate {}
}
