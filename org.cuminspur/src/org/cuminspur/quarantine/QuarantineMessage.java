package org.cuminspur.quarantine;

import java.util.List;

/** A message between instances about what may crash upstreams; each kind is an immutable record. */
public sealed interface QuarantineMessage {
    /** States crashes and what may have caused them. */
    record Crashes(List<SuspectCrash> crashes) implements QuarantineMessage {
        public Crashes {
            crashes = List.copyOf(crashes);
        }
    }

    /** Asks whether a request with a quarantined suspect may be sent as a trial. */
    record TrialQuery(SuspectId suspect) implements QuarantineMessage {}

    /** Answers a query for a trial. */
    record TrialReply(SuspectId suspect, boolean granted) implements QuarantineMessage {}
}
