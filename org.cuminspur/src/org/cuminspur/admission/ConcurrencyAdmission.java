package org.cuminspur.admission;

import io.vavr.control.Either;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;

/** Admits requests up to a number in progress and refuses the others at once; thread-safe. */
public final class ConcurrencyAdmission implements Admission {
    private final int limit;
    private final AtomicInteger inProgress = new AtomicInteger();

    public ConcurrencyAdmission(int limit) {
        this.limit = limit;
    }

    @Override
    public void admit(Demand demand, Consumer<Either<Refusal, Permit>> reply) {
        if (inProgress.incrementAndGet() > limit) {
            inProgress.decrementAndGet();
            reply.accept(Either.left(Refusal.of(ErrorKind.OVERLOADED)));
            return;
        }
        AtomicBoolean released = new AtomicBoolean();
        reply.accept(Either.right(() -> {
            if (released.compareAndSet(false, true)) {
                inProgress.decrementAndGet();
            }
        }));
    }
}
