package org.cuminspur.control;

import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;

/**
 * Who this router is; immutable.
 *
 * @param domain the failure domain it stands in
 */
public record RouterIdentity(InstanceId id, FailureDomainId domain) {}
