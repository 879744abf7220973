package org.cuminspur.router.internal.traffic;

import org.cuminspur.id.InstanceId;
import org.cuminspur.traffic.Destination;
import org.cuminspur.traffic.NetworkAddress;

/** Another instance of the fleet that requests are sent through; immutable. */
record PeerInstance(InstanceId id, NetworkAddress address) implements Destination {
    @Override
    public String host() {
        return address.host();
    }

    @Override
    public int port() {
        return address.port();
    }
}
