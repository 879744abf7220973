package org.cuminspur.traffic;

import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.testng.annotations.Test;

/** Checks that callers refused together retry at different times, and sooner if another instance can serve them. */
public class RetryAfterPolicyTest {
    private static final int CALLERS = 1_000;
    private static final long SLICE_MS = 20;

    @Test
    public void callersRefusedTogetherRetryAtDifferentTimes() {
        RetryAfterPolicy policy = new RetryAfterPolicy(new Random(7)::nextDouble);
        Map<Long, Long> slices = IntStream.range(0, CALLERS)
                .mapToObj(i -> policy.refusal(Refusal.of(ErrorKind.NO_UPSTREAM)).retryAfterMillis() / SLICE_MS)
                .collect(Collectors.groupingBy(slice -> slice, Collectors.counting()));
        long most = slices.values().stream().mapToLong(count -> count).max().orElseThrow();
        assertTrue(most <= CALLERS / 5, "of " + CALLERS + ", " + most + " retry within " + SLICE_MS + " ms");
    }

    @Test
    public void retryAtAnotherInstanceIsSoonerThanAtAFullUpstream() {
        RetryAfterPolicy policy = new RetryAfterPolicy(() -> 1);
        assertTrue(policy.refusal(Refusal.of(ErrorKind.STOPPING)).retryAfterMillis()
                < policy.refusal(Refusal.of(ErrorKind.UPSTREAM_REFUSED)).retryAfterMillis());
        assertTrue(policy.refusal(Refusal.of(ErrorKind.VIEW_STALE)).retryAfterMillis()
                < policy.refusal(Refusal.of(ErrorKind.NOT_READY)).retryAfterMillis());
    }
}
