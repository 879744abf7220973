package org.cuminspur.quarantine;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.cuminspur.id.PromptPartId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.traffic.UpstreamState;

/** A caller's attempt at one instance, which may send it to several upstreams; not thread-safe. */
final class SimulatedAttempt {
    final List<PromptPartId> parts;
    final RequestIdentity identity;
    final boolean crashing;
    final Set<UpstreamId> tried = new HashSet<>();
    private final Consumer<Boolean> onFirstEvent;
    UpstreamState upstream;
    SimulatedInstance instance;
    long sentMillis;
    long firstEventMillis = -1;
    int sends;
    private boolean settled;

    /**
     * Creates an attempt of a request.
     *
     * @param request the same for all its repeats
     * @param onFirstEvent receives once whether the response began
     */
    SimulatedAttempt(String request, List<PromptPartId> parts, boolean crashing, Consumer<Boolean> onFirstEvent) {
        this.parts = parts;
        this.identity = TestSuspects.identity(request);
        this.crashing = crashing;
        this.onFirstEvent = onFirstEvent;
    }

    Suspects suspects() {
        return new Suspects(identity, parts);
    }

    /** Ends the wait for the first event. */
    void settle(boolean begun) {
        if (!settled) {
            settled = true;
            onFirstEvent.accept(begun);
        }
    }

    BrokenRequest broken(long nowMillis) {
        long answeredMillis = firstEventMillis < 0 ? BrokenRequest.NOT_ANSWERED : nowMillis - firstEventMillis;
        return new BrokenRequest("request", suspects(), answeredMillis);
    }
}
