package org.cuminspur.traffic;

import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminspur.errors.ErrorKind;
import org.testng.annotations.Test;

/** Checks that callers who are refused at the same moment come back apart. */
public class RetryAfterPolicyTest {
    private static final int CALLERS = 1_000;
    private static final long SLICE_MS = 20;

    @Test
    public void aCrowdThatIsRefusedAtOnceReturnsSpread() {
        RetryAfterPolicy times = new RetryAfterPolicy(new Random(7)::nextDouble);
        Map<Long, Long> slices = IntStream.range(0, CALLERS)
                .mapToObj(i -> times.refusal(ErrorKind.NO_UPSTREAM, "").retryAfterMillis() / SLICE_MS)
                .collect(Collectors.groupingBy(slice -> slice, Collectors.counting()));
        long most = slices.values().stream().mapToLong(count -> count).max().orElseThrow();
        assertTrue(most <= CALLERS / 5, "of " + CALLERS + ", " + most + " return within " + SLICE_MS + " ms");
    }

    @Test
    public void anotherInstanceIsTriedSoonerThanAFullUpstream() {
        RetryAfterPolicy times = new RetryAfterPolicy(() -> 1);
        assertTrue(times.refusal(ErrorKind.STOPPING, "").retryAfterMillis()
                < times.refusal(ErrorKind.UPSTREAM_REFUSED, "").retryAfterMillis());
        assertTrue(times.refusal(ErrorKind.VIEW_STALE, "").retryAfterMillis()
                < times.refusal(ErrorKind.NOT_READY, "").retryAfterMillis());
    }
}
