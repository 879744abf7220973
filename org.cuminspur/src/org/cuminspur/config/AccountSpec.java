package org.cuminspur.config;

import org.cuminspur.id.AccountId;

/**
 * What operators publish about a client account; immutable.
 *
 * @param keySha256 lower-case hexadecimal SHA-256 of the account's key
 * @param priority the highest priority the account's requests may have
 * @param requestsPerSecond limit over the whole fleet
 * @param concurrent requests in progress over the whole fleet
 */
public record AccountSpec(
        AccountId id, String keySha256, Priority priority, double requestsPerSecond, int concurrent) {}
