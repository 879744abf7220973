package org.cuminspur.control;

import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;

/**
 * Identity of this router; immutable.
 *
 * @param domain failure domain of the router
 */
public record RouterIdentity(InstanceId id, FailureDomainId domain) {}
