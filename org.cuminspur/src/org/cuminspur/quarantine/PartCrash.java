package org.cuminspur.quarantine;

import org.cuminspur.id.PromptPartId;

/**
 * A part of a prompt that a request had which had no answer as its upstream's process ended; immutable.
 *
 * @param crash hash of the upstream's id and start, equal at all instances that saw the end
 * @param ageMillis time since the process ended
 * @param cleared whether a request with the part was answered about then, so that the part is not the cause
 */
public record PartCrash(PromptPartId part, long crash, long ageMillis, boolean cleared) {}
