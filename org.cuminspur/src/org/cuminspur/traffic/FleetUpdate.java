package org.cuminspur.traffic;

import java.util.Optional;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.rollout.RolloutOrder;
import org.cuminspur.rollout.RolloutRecord;

/** An update decoded from one entry of the platform's store; each kind is an immutable record. */
public sealed interface FleetUpdate {
    /** A configuration was published. */
    record ConfigPublished(TrafficConfig config) implements FleetUpdate {}

    /** An upstream registered or updated its entry. */
    record UpstreamUpdated(UpstreamEntry entry) implements FleetUpdate {}

    /** An upstream's entry was removed. */
    record UpstreamRemoved(UpstreamId id) implements FleetUpdate {}

    /** Operators took a failure domain out of service. */
    record DomainDrained(FailureDomainId domain) implements FleetUpdate {}

    /** Operators brought a failure domain back into service. */
    record DomainRestored(FailureDomainId domain) implements FleetUpdate {}

    /** An instance of the fleet registered, with its address for datagrams if it receives any. */
    record InstanceRegistered(InstanceId id, Optional<NetworkAddress> address) implements FleetUpdate {}

    /** An instance's entry was removed. */
    record InstanceRemoved(InstanceId id) implements FleetUpdate {}

    /** An instance stored the table of prompt owners of a service. */
    record PromptTableStored(ServiceId service, PromptTable table) implements FleetUpdate {}

    /** An instance stored which software versions have served a service. */
    record VersionsStored(ServiceId service, ServedVersions versions) implements FleetUpdate {}

    /** An instance stored where its streams began, none if its key was removed. */
    record StreamsStored(InstanceId instance, StreamOrigins origins) implements FleetUpdate {}

    /** Operators ordered a roll-out of a service, or took the order back. */
    record RolloutOrdered(ServiceId service, Optional<RolloutOrder> order) implements FleetUpdate {}

    /** An instance stored how far a roll-out has come, nothing if its key was removed. */
    record RolloutStored(ServiceId service, Optional<RolloutRecord> record) implements FleetUpdate {}

    /** An instance found that all was written again since the store came back from a copy and began an era. */
    record EraSettled(long era) implements FleetUpdate {}

    /** The entry cannot be decoded. */
    record Malformed(String reason) implements FleetUpdate {}

    /** The entry does not belong to this system. */
    record Irrelevant() implements FleetUpdate {}
}
