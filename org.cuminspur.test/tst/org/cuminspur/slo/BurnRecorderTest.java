package org.cuminspur.slo;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.cuminspur.config.Objective;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.testing.VirtualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks windows, alarms, merging and the JSON form of burn reports. */
public class BurnRecorderTest {
    private static final long MINUTE_MS = 60_000;
    private static final ServiceId SERVICE = new ServiceId("appraisal");
    private static final Objective OBJECTIVE = new Objective(0.95, 580, 42);

    private VirtualTime time;
    private BurnRecorder recorder;

    @BeforeMethod
    public void setUp() {
        time = new VirtualTime(600 * MINUTE_MS);
        recorder = new BurnRecorder(time.clock());
    }

    @Test
    public void windowsExcludeOlderRequests() {
        serve("a", 10, 100);
        time.advance(4 * MINUTE_MS);
        assertEquals(row().countsIn("5m"), new RequestCounts(10, 0));
        time.advance(MINUTE_MS);
        assertEquals(row().countsIn("5m"), RequestCounts.NONE);
        assertEquals(row().countsIn("1h"), new RequestCounts(10, 0));
        time.advance(355 * MINUTE_MS);
        assertEquals(row().countsIn("6h"), RequestCounts.NONE);
    }

    @Test
    public void requestIsBadIfItFailedOrATimeExceedsItsBound() {
        recorder.observe(outcome("a", true, 580, 42));
        recorder.observe(outcome("a", true, 581, 42));
        recorder.observe(outcome("a", true, 580, 42.5));
        recorder.observe(outcome("a", false, RequestOutcome.NOT_MEASURED, RequestOutcome.NOT_MEASURED));
        assertEquals(row().countsIn("5m"), new RequestCounts(1, 3));
        assertEquals(row().burnRate("5m"), 0.75 / 0.05, 1e-6);
    }

    @Test
    public void fastAlarmNeedsBothWindowsAndEndsWithTheShortOne() {
        everyMinute(60, 100);
        assertEquals(recorder.alarmCount(BurnWindow.FAST), 0);
        everyMinute(10, 1_000);
        assertEquals(recorder.alarmCount(BurnWindow.FAST), 0, "the long window is still below the threshold");
        everyMinute(40, 1_000);
        assertEquals(recorder.alarmCount(BurnWindow.FAST), 1);
        everyMinute(5, 100);
        assertEquals(recorder.alarmCount(BurnWindow.FAST), 0);
    }

    @Test
    public void reportsMergeAfterJsonRoundTrip() {
        serve("a", 3, 100);
        BurnReport one = recorder.report();
        recorder = new BurnRecorder(time.clock());
        serve("a", 2, 1_000);
        serve("b", 1, 100);
        BurnReport read = BurnReportCodec.decode(BurnReportCodec.encode(recorder.report()))
                .get();
        BurnReport sum = one.plus(read);
        assertEquals(sum.serviceRows().get(0).countsIn("1h"), new RequestCounts(4, 2));
        assertEquals(sum.rows().size(), 2);
        assertEquals(sum.latencies().get(SERVICE).firstToken().getTotalCount(), 6);
        long slowest = sum.latencies().get(SERVICE).firstToken().getMaxValue();
        assertTrue(slowest >= 1_000 && slowest < 1_010, "slowest " + slowest);
    }

    private void everyMinute(int minutes, long firstTokenMillis) {
        for (int i = 0; i < minutes; i++) {
            time.advance(MINUTE_MS);
            serve("a", 10, firstTokenMillis);
        }
    }

    private void serve(String account, int count, long firstTokenMillis) {
        for (int i = 0; i < count; i++) {
            recorder.observe(outcome(account, true, firstTokenMillis, 20));
        }
    }

    private BurnRow row() {
        return recorder.report().rows().get(0);
    }

    private static RequestOutcome outcome(String account, boolean succeeded, long firstToken, double between) {
        return new RequestOutcome(SERVICE, new AccountId(account), OBJECTIVE, succeeded, firstToken, between);
    }
}
