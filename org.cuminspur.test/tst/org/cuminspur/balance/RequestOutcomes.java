package org.cuminspur.balance;

/** What became of the requests of an account or a priority; not thread-safe. */
final class RequestOutcomes {
    long requests;
    long onTime;
    long served;
    long refused;
    long failed;

    double onTimeShare() {
        return onTime / (double) Math.max(1, requests);
    }

    double servedShare() {
        return served / (double) Math.max(1, requests);
    }

    double failedShare() {
        return failed / (double) Math.max(1, requests);
    }

    /** Returns the requests that got no response, no error and no refusal, once those in progress have ended. */
    long unanswered() {
        return requests - served - refused - failed;
    }
}
