package org.cuminspur.traffic;

import java.util.OptionalInt;
import org.cuminspur.id.AccountId;

/**
 * A client account as requests are checked against it; immutable.
 *
 * @param priority rank of all its requests, which goes before that of the route
 */
public record ClientAccount(AccountId id, OptionalInt priority) {}
