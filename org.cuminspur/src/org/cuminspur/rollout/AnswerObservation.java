package org.cuminspur.rollout;

import java.util.OptionalDouble;
import org.cuminspur.id.RouteId;
import org.cuminspur.traffic.PromptDescription;
import org.cuminspur.traffic.UpstreamState;

/**
 * Tells whether the answer to one attempt is good or bad.
 *
 * <p>Not thread-safe; confined to the traffic thread. An answer is bad if it failed, or if it was slow by what the versions
 * in service take for the same route. The caches of new upstreams are empty, so the time to read the shared parts of a
 * prompt is allowed for; an upstream of the target that is cold is not called slow at all.
 */
final class AnswerObservation implements AnswerObserver {
    /** Bytes after the first ones from which the pace of a response is measured. */
    private static final int MIN_PACE_BYTES = 256;

    /** Reads of a response's body from which its pace is measured; fewer come with the first bytes. */
    private static final int MIN_READS = 4;

    private static final double KILOBYTE = 1_024;

    /** Receives the verdict on an answer, once. */
    @FunctionalInterface
    interface Verdict {
        void accept(boolean bad);
    }

    private final AnswerTimes times;
    private final UpstreamState upstream;
    private final boolean ofTarget;
    private final RouteId route;
    private final PromptDescription prompt;
    private final Verdict verdict;
    private final long sentMillis;
    private final boolean coldTarget;
    private long firstByteMillis = -1;
    private long laterBytes;
    private int reads;
    private boolean judged;

    AnswerObservation(
            AnswerTimes times,
            UpstreamState upstream,
            boolean ofTarget,
            RouteId route,
            PromptDescription prompt,
            Verdict verdict,
            long sentMillis) {
        this.times = times;
        this.upstream = upstream;
        this.ofTarget = ofTarget;
        this.route = route;
        this.prompt = prompt;
        this.verdict = verdict;
        this.sentMillis = sentMillis;
        this.coldTarget = ofTarget && upstream.isCold(sentMillis);
    }

    @Override
    public void received(int bytes, long nowMillis) {
        reads++;
        if (firstByteMillis < 0) {
            firstByteMillis = nowMillis;
        } else {
            laterBytes += bytes;
        }
    }

    @Override
    public void completed(long nowMillis) {
        if (firstByteMillis < 0) {
            firstByteMillis = nowMillis;
        }
        double firstMillis = firstByteMillis - sentMillis;
        OptionalDouble pace = reads >= MIN_READS && laterBytes >= MIN_PACE_BYTES
                ? OptionalDouble.of((nowMillis - firstByteMillis) * KILOBYTE / laterBytes)
                : OptionalDouble.empty();
        boolean slowPace = !coldTarget && pace.orElse(0) > times.slowPaceMillis(route);
        judge(slowPace || isSlow(firstMillis));
        if (!ofTarget) {
            times.record(upstream.entry().service(), route, prompt, firstMillis, pace);
        }
    }

    @Override
    public void failed() {
        judge(true);
    }

    @Override
    public void givenUp(long nowMillis) {
        // It says something only if it had waited for long.
        if (firstByteMillis < 0 && isSlow(nowMillis - sentMillis)) {
            judge(true);
        }
    }

    private boolean isSlow(double firstMillis) {
        return !coldTarget
                && firstMillis > times.slowFirstMillis(upstream.entry().service(), route, prompt, ofTarget);
    }

    private void judge(boolean bad) {
        if (!judged) {
            judged = true;
            verdict.accept(bad);
        }
    }
}
