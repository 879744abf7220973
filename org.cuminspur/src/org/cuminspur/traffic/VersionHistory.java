package org.cuminspur.traffic;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;

/**
 * The software versions at which streams may have begun that can still be resumed, by a view of the fleet; stateless.
 *
 * <p>A version that the view does not show has left before it, and is in the record that the store holds, or began to
 * serve after it. So what is concluded holds for streams that began before the view was confirmed, and for no others.
 */
final class VersionHistory {
    private VersionHistory() {}

    /** Returns the only version at which a stream can have begun, empty if there may be several or no record exists. */
    static Optional<SoftwareVersion> onlyVersion(FleetView view, ServiceId service) {
        Set<SoftwareVersion> versions = versions(view, service);
        return recorded(view, service).isEmpty() || versions.size() > 1
                ? Optional.empty()
                : versions.stream().findFirst();
    }

    /** Returns the versions that serve or are recorded to have served. */
    static Set<SoftwareVersion> versions(FleetView view, ServiceId service) {
        return Stream.concat(
                        recorded(view, service).stream(),
                        view.upstreams().values().stream()
                                .filter(entry -> entry.service().equals(service))
                                .map(UpstreamEntry::version))
                .collect(Collectors.toSet());
    }

    private static Set<SoftwareVersion> recorded(FleetView view, ServiceId service) {
        return view.servedVersions().getOrDefault(service, ServedVersions.NONE).versions();
    }
}
