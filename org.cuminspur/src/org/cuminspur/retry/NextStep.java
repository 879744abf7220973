package org.cuminspur.retry;

import org.cuminspur.errors.Refusal;

/** What to do with a request after an event; each kind is an immutable record. */
public sealed interface NextStep {
    /** Send it to an upstream at which it has not failed. */
    record Send() implements NextStep {}

    /** Continue its event stream at the upstream that began it. */
    record Resume() implements NextStep {}

    /** Pass the upstream's answer on. */
    record Relay() implements NextStep {}

    /** Answer with a refusal; no byte of an answer has reached the caller. */
    record Refuse(Refusal refusal) implements NextStep {}

    /** Mark the answer, part of which has reached the caller, as incomplete. */
    record AbortAnswer(Refusal refusal) implements NextStep {}

    /** Nothing is left to do: the answer is complete, or the caller has disconnected. */
    record Finish() implements NextStep {}
}
