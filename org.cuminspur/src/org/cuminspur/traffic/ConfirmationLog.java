package org.cuminspur.traffic;

import org.cuminspur.event.EventSink;

/**
 * Logs what confirms the view: at most once in an interval, unless the era of the store changes.
 *
 * <p>Confined to the timer thread, except {@link #last}.
 */
final class ConfirmationLog {
    private static final long INTERVAL_MS = 10_000;

    private final EventSink events;
    private volatile ViewConfirmation last = ViewConfirmation.NONE;
    private ViewConfirmation lastLogged = ViewConfirmation.NONE;

    ConfirmationLog(EventSink events) {
        this.events = events;
    }

    /** Returns the newest confirmation; may be called on any thread. */
    ViewConfirmation last() {
        return last;
    }

    void record(ViewConfirmation confirmation) {
        last = confirmation;
        if (lastLogged == ViewConfirmation.NONE
                || confirmation.store().era() != lastLogged.store().era()
                || confirmation.atMillis() - lastLogged.atMillis() >= INTERVAL_MS) {
            lastLogged = confirmation;
            events.emit(
                    "view-confirmed",
                    "revision",
                    confirmation.config().value(),
                    "storeEra",
                    confirmation.store().era(),
                    "storeRevision",
                    confirmation.store().number(),
                    "by",
                    confirmation.source().name());
        }
    }
}
