package org.cuminspur.router.internal.traffic;

import java.util.Optional;
import org.cuminspur.id.ServiceId;
import org.cuminspur.traffic.ClientAccount;
import org.cuminspur.traffic.HostRoute;

/**
 * A request with what the configuration says of it; immutable.
 *
 * @param revision the configuration's revision
 * @param service the service of the route that takes it
 * @param urgency rank among all requests, 0 is the most urgent
 * @param deadlineMillis when its answer must be whole
 */
record RoutedCall(
        HostRoute route,
        long revision,
        Optional<ClientAccount> account,
        ServiceId service,
        int urgency,
        long deadlineMillis) {
    /** Returns whether it was let in by a key. */
    boolean keyed() {
        return account.isPresent();
    }
}
