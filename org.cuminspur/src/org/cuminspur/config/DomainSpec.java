package org.cuminspur.config;

import org.cuminspur.id.FailureDomainId;

/**
 * What operators publish about a failure domain; immutable.
 *
 * @param region the region that the domain belongs to
 */
public record DomainSpec(FailureDomainId id, String region) {}
