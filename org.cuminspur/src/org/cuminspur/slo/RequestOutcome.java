package org.cuminspur.slo;

import org.cuminspur.config.Objective;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.ServiceId;

/**
 * How one request was served; immutable.
 *
 * @param succeeded whether the caller got a whole answer within the deadline that was no error of the service
 * @param firstTokenMillis time from arrival to the first piece of the answer, or {@link #NONE}
 * @param betweenTokensMillis mean time between pieces of the answer, or {@link #NONE} for fewer than two
 */
public record RequestOutcome(
        ServiceId service,
        AccountId account,
        Objective objective,
        boolean succeeded,
        long firstTokenMillis,
        double betweenTokensMillis) {
    /** Stands for a time that there is none of. */
    public static final long NOT_MEASURED = -1;

    /** Returns whether the request met the objective. */
    public boolean meetsObjective() {
        return succeeded
                && firstTokenMillis <= objective.firstTokenMillis()
                && betweenTokensMillis <= objective.betweenTokensMillis();
    }
}
