package org.cuminspur.once;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.function.Consumer;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.store.StoreKeys;
import org.cuminspur.testing.once.SimulatedFleet;
import org.cuminspur.testing.once.SimulatedRequest;
import org.testng.annotations.Test;

/** Tests the decision on a request by the state of its key and of the store. */
public class StoreIdempotencyLedgerTest {
    private static final long DAY_MS = 24 * 3_600_000L;
    private static final long SHORT_DELAY_MS = 1_000;

    @Test
    public void repeatWithinTheWindowReplaysTheFirstAnswer() {
        assertTrue(repeatAfterFirst(singleRouterFleet(4_096), SHORT_DELAY_MS, "same")
                .replayed());
    }

    @Test
    public void answerAboveTheSizeLimitIsNotStored() {
        assertEquals(kind(repeatAfterFirst(singleRouterFleet(5), SHORT_DELAY_MS, "same")), ErrorKind.OUTCOME_NOT_KEPT);
    }

    @Test
    public void otherRequestWithTheSameKeyIsRefused() {
        assertEquals(kind(repeatAfterFirst(singleRouterFleet(4_096), SHORT_DELAY_MS, "other")), ErrorKind.KEY_REUSED);
    }

    @Test
    public void keyOlderThanTheWindowIsRefusedAndItsRecordDeleted() {
        SimulatedFleet fleet = singleRouterFleet(4_096);
        fleet.time().advance(DAY_MS / 24);
        assertEquals(kind(repeatAfterFirst(fleet, DAY_MS / 24, "same")), ErrorKind.KEY_EXPIRED);
        String prefix = StoreKeys.ONCE_PREFIX + "dated/";
        assertEquals(fleet.table().range(prefix, prefix + "~").entries().size(), 0);
    }

    @Test
    public void undatedKeyIsReplayedAfterTheWindow() {
        SimulatedFleet fleet = new SimulatedFleet(1, 2, FaultScenario::realLedger);
        ActionId action = fleet.createAction(1, false);
        fleet.send(fleet.randomRouter(), action, "same");
        fleet.time().advance(DAY_MS / 12);
        assertTrue(sendAndWait(fleet, action, "same").replayed());
    }

    @Test
    public void undatedAndFutureKeysAreRefusedUnderTheRefusePolicy() {
        SimulatedFleet fleet = singleRouterFleet(4_096);
        assertEquals(kind(sendAndWait(fleet, fleet.createAction(1, false), "same")), ErrorKind.BAD_REQUEST);
        fleet.routers().forEach(router -> router.clockSkewMillis(-DAY_MS));
        assertEquals(kind(sendAndWait(fleet, fleet.createAction(2, true), "same")), ErrorKind.BAD_REQUEST);
    }

    @Test
    public void longStoreOutageRefusesAtOnceWithALongerRetryAfter() {
        SimulatedFleet fleet = singleRouterFleet(4_096);
        fleet.routers().forEach(router -> router.store().faults().outage(true));
        sendAndWait(fleet, fleet.createAction(1, true), "same");
        fleet.time().advance(60_000);
        SimulatedRequest refused = fleet.send(fleet.randomRouter(), fleet.createAction(2, true), "same");
        Refusal refusal = refused.refusal().get();
        assertEquals(refusal.kind(), ErrorKind.STORE_UNAVAILABLE);
        assertTrue(refusal.retryAfterMillis() >= 25_000 && refusal.retryAfterMillis() <= 45_000, refusal.toString());
    }

    private static SimulatedFleet singleRouterFleet(long maxStoredAnswerBytes) {
        Consumer<IdempotencyEvent> events = event -> {};
        IdempotencySettings settings = new IdempotencySettings(600_000, maxStoredAnswerBytes, UndatedKeyPolicy.REFUSE);
        return new SimulatedFleet(
                1,
                1,
                (owner, store, clock, random) ->
                        new StoreIdempotencyLedger(settings, owner, store, clock, random, events));
    }

    private static SimulatedRequest repeatAfterFirst(SimulatedFleet fleet, long millis, String fingerprint) {
        ActionId action = fleet.createAction(1, true);
        assertEquals(sendAndWait(fleet, action, "same").executions(), 1);
        fleet.time().advance(millis);
        return sendAndWait(fleet, action, fingerprint);
    }

    private static SimulatedRequest sendAndWait(SimulatedFleet fleet, ActionId action, String fingerprint) {
        SimulatedRequest request = fleet.send(fleet.randomRouter(), action, fingerprint);
        fleet.time().advance(SimulatedFleet.DEADLINE_MS);
        return request;
    }

    private static ErrorKind kind(SimulatedRequest request) {
        return request.refusal().map(Refusal::kind).getOrNull();
    }
}
