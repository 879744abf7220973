package org.cuminspur.once;

import java.util.function.Consumer;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;

/** Refuses every action; stands in where no store is configured. Stateless and thread-safe. */
public final class RefusingLedger implements ActionLedger {
    @Override
    public void begin(ActionId action, String fingerprint, long deadlineMillis, Consumer<Decision> reply) {
        reply.accept(new Decision.Refuse(Refusal.of(ErrorKind.STORE_UNAVAILABLE)));
    }

    @Override
    public void finish(Claim claim, Outcome outcome, Runnable tried) {
        tried.run();
    }
}
