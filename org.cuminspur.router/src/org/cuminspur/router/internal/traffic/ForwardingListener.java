package org.cuminspur.router.internal.traffic;

import io.undertow.util.HeaderMap;
import org.cuminspur.retry.AttemptEvent;
import org.cuminspur.retry.NextStep;

/** Decides the next step after each event of a request's attempts, and begins and ends its response. */
interface ForwardingListener {
    /** Returns the next step after an event. */
    NextStep decide(AttemptEvent event);

    /** Returns whether the attempt in progress is to be given up, and the request sent elsewhere, which uses up a retry. */
    boolean tryMoveOn();

    /** Performs a step. */
    void perform(NextStep next);

    /** Decides and performs the next step after an event. */
    default void handle(AttemptEvent event) {
        perform(decide(event));
    }

    /**
     * Begins the response.
     *
     * @param resumable whether another upstream may go on with it if it is a stream
     */
    void begin(int status, HeaderMap headers, boolean resumable);

    /** Ends the response as complete. */
    void complete();

    /** Ends the response as incomplete. */
    void abort(String cause);

    /** Returns whether the response has ended. */
    boolean isFinished();
}
