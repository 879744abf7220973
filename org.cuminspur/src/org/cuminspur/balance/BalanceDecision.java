package org.cuminspur.balance;

import org.cuminspur.traffic.UpstreamState;

/** Where a request goes; each kind is an immutable record. */
public sealed interface BalanceDecision {
    /** The request goes to an upstream. */
    record Assigned(UpstreamState upstream) implements BalanceDecision {}

    /** There is no room for the request before its limit; it has not run. */
    record Rejected(long retryAfterMillis) implements BalanceDecision {}

    /** Nobody decides; the request is placed by what this instance knows. */
    record Undecided() implements BalanceDecision {}
}
