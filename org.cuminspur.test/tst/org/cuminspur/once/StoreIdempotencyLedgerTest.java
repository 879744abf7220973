package org.cuminspur.once;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.function.Consumer;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.store.StoreKeys;
import org.cuminspur.testing.once.OnceFleet;
import org.cuminspur.testing.once.OnceRequest;
import org.testng.annotations.Test;

/** Checks what a request is told by the state of its key and of the store. */
public class StoreIdempotencyLedgerTest {
    private static final long DAY_MS = 24 * 3_600_000L;
    private static final long SOON_MS = 1_000;

    @Test
    public void repeatWithinTheWindowGetsTheFirstAnswer() {
        assertTrue(afterFirst(fleet(4_096), SOON_MS, "same").repeated());
    }

    @Test
    public void answerOverTheBoundIsNotKept() {
        assertEquals(kind(afterFirst(fleet(5), SOON_MS, "same")), ErrorKind.OUTCOME_NOT_KEPT);
    }

    @Test
    public void otherRequestWithTheSameKeyIsRefused() {
        assertEquals(kind(afterFirst(fleet(4_096), SOON_MS, "other")), ErrorKind.KEY_REUSED);
    }

    @Test
    public void keyOlderThanTheWindowIsRefusedAndItsRecordGone() {
        OnceFleet fleet = fleet(4_096);
        fleet.time().run(DAY_MS / 24);
        assertEquals(kind(afterFirst(fleet, DAY_MS / 24, "same")), ErrorKind.KEY_EXPIRED);
        String prefix = StoreKeys.ONCE_PREFIX + "dated/";
        assertEquals(fleet.table().range(prefix, prefix + "~").entries().size(), 0);
    }

    @Test
    public void undatedKeyIsRememberedPastTheWindow() {
        OnceFleet fleet = new OnceFleet(1, 2, OnceSchedule::real);
        ActionId action = fleet.action(1, false);
        fleet.request(fleet.anyRouter(), action, "same");
        fleet.time().run(DAY_MS / 12);
        assertTrue(settled(fleet, action, "same").repeated());
    }

    @Test
    public void undatedAndFutureKeysAreRefusedWhereAgeIsNeeded() {
        OnceFleet fleet = fleet(4_096);
        assertEquals(kind(settled(fleet, fleet.action(1, false), "same")), ErrorKind.BAD_REQUEST);
        fleet.routers().forEach(router -> router.clockSkewMillis(-DAY_MS));
        assertEquals(kind(settled(fleet, fleet.action(2, true), "same")), ErrorKind.BAD_REQUEST);
    }

    @Test
    public void storeDownForLongRefusesAtOnceAndSendsCallersAwayForLonger() {
        OnceFleet fleet = fleet(4_096);
        fleet.routers().forEach(router -> router.store().faults().outage(true));
        settled(fleet, fleet.action(1, true), "same");
        fleet.time().run(60_000);
        OnceRequest refused = fleet.request(fleet.anyRouter(), fleet.action(2, true), "same");
        Refusal refusal = refused.refusal().get();
        assertEquals(refusal.kind(), ErrorKind.STORE_UNAVAILABLE);
        assertTrue(refusal.retryAfterMillis() >= 25_000 && refusal.retryAfterMillis() <= 45_000, refusal.toString());
    }

    private static OnceFleet fleet(long keptBytes) {
        Consumer<IdempotencyEvent> events = event -> {};
        IdempotencySettings settings = new IdempotencySettings(600_000, keptBytes, UndatedKeyPolicy.REFUSE);
        return new OnceFleet(
                1,
                1,
                (owner, store, clock, random) ->
                        new StoreIdempotencyLedger(settings, owner, store, clock, random, events));
    }

    private static OnceRequest afterFirst(OnceFleet fleet, long millis, String fingerprint) {
        ActionId action = fleet.action(1, true);
        assertEquals(settled(fleet, action, "same").executions(), 1);
        fleet.time().run(millis);
        return settled(fleet, action, fingerprint);
    }

    private static OnceRequest settled(OnceFleet fleet, ActionId action, String fingerprint) {
        OnceRequest request = fleet.request(fleet.anyRouter(), action, fingerprint);
        fleet.time().run(OnceFleet.DEADLINE_MS);
        return request;
    }

    private static ErrorKind kind(OnceRequest request) {
        return request.refusal().map(Refusal::kind).getOrNull();
    }
}
