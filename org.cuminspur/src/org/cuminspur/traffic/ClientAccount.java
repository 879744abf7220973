package org.cuminspur.traffic;

import java.util.OptionalInt;
import org.cuminspur.id.AccountId;

/**
 * A client account that requests are authenticated against; immutable.
 *
 * @param priority priority of all its requests, which overrides that of the route
 */
public record ClientAccount(AccountId id, OptionalInt priority) {}
