package org.cuminspur.admission;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;

/** Admits first come first served from one bounded queue; used by one thread. */
final class FifoAdmission implements Admission {
    private final FairAdmission.Capacity capacity;
    private final FairAdmission.Timer timer;
    private final Queue<Runnable> queue = new ArrayDeque<>();
    private int running;

    FifoAdmission(FairAdmission.Capacity capacity, FairAdmission.Timer timer) {
        this.capacity = capacity;
        this.timer = timer;
    }

    @Override
    public void admit(Request request, Consumer<Either<Refusal, Permit>> reply) {
        if (running >= capacity.slots() && queue.size() >= capacity.maxWaiting()) {
            reply.accept(Either.left(Refusal.of(ErrorKind.OVERLOADED)));
            return;
        }
        Runnable start = () -> reply.accept(Either.right(this::release));
        queue.add(start);
        timer.after(capacity.maxWaitMillis(), () -> {
            if (queue.remove(start)) {
                reply.accept(Either.left(Refusal.of(ErrorKind.OVERLOADED)));
            }
        });
        startNext();
    }

    private void release() {
        running--;
        startNext();
    }

    private void startNext() {
        while (running < capacity.slots() && !queue.isEmpty()) {
            running++;
            queue.poll().run();
        }
    }
}
