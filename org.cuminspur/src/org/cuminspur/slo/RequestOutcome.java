package org.cuminspur.slo;

import org.cuminspur.config.Objective;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.ServiceId;

/**
 * How one request was served; immutable.
 *
 * @param succeeded whether the caller got a complete answer, not an error of the service, within the deadline
 * @param firstTokenMillis time from arrival to the first piece of the answer, or {@link #NOT_MEASURED}
 * @param betweenTokensMillis mean time between pieces of the answer, or {@link #NOT_MEASURED} for fewer than two
 */
public record RequestOutcome(
        ServiceId service,
        AccountId account,
        Objective objective,
        boolean succeeded,
        long firstTokenMillis,
        double betweenTokensMillis) {
    /** Marks a time that was not measured. */
    public static final long NOT_MEASURED = -1;

    /** Returns whether the request met the objective. */
    public boolean meetsObjective() {
        return succeeded
                && firstTokenMillis <= objective.firstTokenMillis()
                && betweenTokensMillis <= objective.betweenTokensMillis();
    }
}
