package org.cuminspur.router.internal.caller;

import com.codahale.metrics.MetricRegistry;
import java.util.OptionalLong;
import org.cuminspur.http.client.BodyEnd;
import org.cuminspur.http.client.Cancellation;
import org.cuminspur.once.IdempotencyLedger.Outcome;
import org.cuminspur.retry.AttemptEvent;
import org.cuminspur.retry.AttemptStateMachine;
import org.cuminspur.retry.NextStep;

/**
 * Executes one request, from its first attempt to its end, as {@link AttemptStateMachine} decides.
 *
 * <p>Used by one worker thread.
 */
final class RequestExecution {
    private final AttemptStateMachine attempts;
    private final UpstreamAttempt upstream;
    private final AnswerRelay relay;
    private final CallerAnswer answer;
    private final Cancellation cancellation;
    private final MetricRegistry metrics;

    RequestExecution(
            AttemptStateMachine attempts,
            UpstreamAttempt upstream,
            AnswerRelay relay,
            CallerAnswer answer,
            Cancellation cancellation,
            MetricRegistry metrics) {
        this.attempts = attempts;
        this.upstream = upstream;
        this.relay = relay;
        this.answer = answer;
        this.cancellation = cancellation;
        this.metrics = metrics;
    }

    /** Executes the request and returns its outcome. */
    Outcome run() {
        if (answer.cancellation().cancelled()) {
            return new Outcome.NotRun();
        }
        NextStep step = attempts.start();
        try {
            while (true) {
                if (step instanceof NextStep.Send) {
                    step = attempts.handle(upstream.send());
                } else if (step instanceof NextStep.Resume) {
                    metrics.counter("upstream.resumed").inc();
                    step = attempts.handle(resume());
                } else if (step instanceof NextStep.Relay) {
                    step = attempts.handle(relayAnswer());
                } else {
                    return finish(step);
                }
            }
        } finally {
            upstream.close();
        }
    }

    private AttemptEvent relayAnswer() {
        AttemptEvent event = relay.relay(upstream.stream(), upstream.isEngine());
        upstream.recordEnd(event);
        return event;
    }

    private AttemptEvent resume() {
        OptionalLong resumePoint = relay.resumePoint();
        if (cancellation.cancelled()) {
            return new AttemptEvent.CallerGone();
        } else if (resumePoint.isEmpty() || !upstream.resume(resumePoint.getAsLong())) {
            return new AttemptEvent.BrokenDuringAnswer(false);
        }
        relay.expectContinuation();
        return new AttemptEvent.AnswerStarted();
    }

    private Outcome finish(NextStep step) {
        if (step instanceof NextStep.Refuse refuse) {
            answer.refuse(refuse.refusal());
            return attempts.mayHaveRun() ? new Outcome.Unknown() : new Outcome.NotRun();
        } else if (step instanceof NextStep.AbortAnswer abort) {
            answer.refuse(abort.refusal());
            return new Outcome.Unknown();
        }
        answer.countEnd(relay.complete() ? BodyEnd.COMPLETE : BodyEnd.BROKEN);
        return relay.storableAnswer().<Outcome>map(Outcome.Answered::new).orElseGet(Outcome.Unknown::new);
    }
}
