package org.cuminspur.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.store.Txn;
import org.cuminspur.testing.SimulatedStore;
import org.cuminspur.testing.VirtualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks the view of the fleet while the store changes, is silent or is unavailable, in virtual time. */
public class FleetWatcherTest {
    private static final UpstreamId ONE = new UpstreamId("one");

    private static final InstanceId SELF = new InstanceId("instance-0");

    /** Time in which a small fleet sees a change. */
    private static final long SEEN_MS = 500;

    private VirtualTime time;
    private SimulatedStore store;
    private ViewFreshness freshness;
    private FleetView view;
    private FleetWatcher watcher;

    @BeforeMethod
    public void start() {
        time = new VirtualTime(1_000_000);
        store = new SimulatedStore(time, new Random(1));
        freshness = new ViewFreshness(time.clock(), time.clock());
        view = FleetView.EMPTY;
        write("config/x", "3");
        write("upstream/one", "ready");
        watcher = createWatcher();
        watcher.start();
        time.advance(100);
    }

    @Test
    public void firstReadPublishesAView() {
        assertEquals(revision(), 3);
        assertTrue(view.upstreams().containsKey(ONE));
        assertTrue(freshness.ageMillis() <= 100);
    }

    @Test
    public void lowerRevisionIsIgnored() {
        write("config/x", "9");
        time.advance(SEEN_MS);
        write("config/x", "5");
        time.advance(5_000);
        assertEquals(revision(), 9);
    }

    @Test
    public void confirmationDetectsASilentWatch() {
        store.faults().silentWatches(true);
        write("config/x", "4");
        write("upstream/one", "leaving");
        time.advance(1_500);
        assertEquals(revision(), 4);
        assertTrue(view.upstreams().get(ONE).draining());
    }

    @Test
    public void removalMissedByASilentWatchIsApplied() {
        store.faults().silentWatches(true);
        remove("upstream/one");
        time.advance(1_500);
        assertFalse(view.upstreams().containsKey(ONE));
    }

    @Test
    public void nothingIsConfirmedWhileTheStoreIsUnavailable() {
        store.faults().outage(true);
        time.advance(6_000);
        assertTrue(freshness.ageMillis() >= 5_000, "age " + freshness.ageMillis());
        store.faults().outage(false);
        time.advance(2_500);
        assertTrue(freshness.ageMillis() <= 1_200, "age " + freshness.ageMillis());
    }

    @Test
    public void confirmationRequestsInAnOutageAddFewCalls() {
        store.faults().refusing(true);
        time.advance(500);
        long before = store.readCount();
        for (int i = 0; i < 500; i++) {
            watcher.requestConfirmation();
            time.advance(10);
        }
        assertTrue(store.readCount() - before <= 20, "calls " + (store.readCount() - before));
    }

    @Test
    public void upstreamRemovedFromALargeFleetIsDroppedAtOnce() {
        for (int i = 0; i < 83; i++) {
            write("instance/i" + i, "a");
        }
        time.advance(20_000);
        remove("upstream/one");
        time.advance(1_000);
        assertFalse(view.upstreams().containsKey(ONE));
    }

    /** Guards against slow replies that are taken for an outage in which entries lapse. */
    @Test
    public void upstreamRemovedAsRepliesTurnSlowIsDroppedWithinTheChangeBound() {
        for (int i = 0; i < 83; i++) {
            write("instance/i" + i, "a");
        }
        time.advance(20_000);
        store.faults().delay(480, 490);
        remove("upstream/one");
        time.advance(TrafficFixtures.BOUNDS.maxChangeDelayMillis());
        assertFalse(view.upstreams().containsKey(ONE));
    }

    /** Guards against an outage that goes unnoticed since the first reply after it is slow. */
    @Test
    public void entryLapsedInAnOutageIsKeptIfTheNextReplyIsSlow() {
        store.faults().outage(true);
        time.advance(4_000);
        remove("upstream/one");
        store.faults().outage(false);
        store.faults().delay(400, 450);
        time.advance(1_800);
        assertTrue(view.upstreams().containsKey(ONE), "dropped before the grace time ended");
    }

    @Test
    public void constantChangeTakesOneCallInEachInterval() {
        for (int i = 0; i < 83; i++) {
            write("instance/i" + i, "a");
        }
        time.advance(5_000);
        long before = store.readCount();
        long maxAge = 0;
        for (int i = 0; i < 200; i++) {
            write("upstream/u" + i, "ready");
            time.advance(50);
            maxAge = Math.max(maxAge, freshness.ageMillis());
        }
        long interval = new StoreCallIntervals(TrafficFixtures.BOUNDS).pollIntervalMillis(83);
        assertTrue(maxAge <= interval + 500, "age " + maxAge);
        assertTrue(store.readCount() - before <= 10_000 / interval + 1, "reads " + (store.readCount() - before));
        assertEquals(store.watchCount(), 0);
    }

    @Test
    public void droppedHistoryIsReadAgain() {
        store.faults().historyDropped(true);
        write("config/x", "9");
        remove("upstream/one");
        time.advance(1_500);
        assertEquals(revision(), 9);
        assertFalse(view.upstreams().containsKey(ONE));
    }

    @Test
    public void entryLapsedInAnOutageIsKeptForTheReregistrationGrace() {
        store.faults().outage(true);
        time.advance(4_000);
        remove("upstream/one");
        store.faults().outage(false);
        time.advance(1_800);
        assertTrue(view.upstreams().containsKey(ONE), "dropped before the grace time ended");
        time.advance(3_000);
        assertFalse(view.upstreams().containsKey(ONE), "kept after the grace time ended");
    }

    @Test
    public void drainingUpstreamLapsedInAnOutageIsDropped() {
        write("upstream/one", "leaving");
        time.advance(SEEN_MS);
        store.faults().outage(true);
        time.advance(4_000);
        remove("upstream/one");
        store.faults().outage(false);
        time.advance(1_500);
        assertFalse(view.upstreams().containsKey(ONE));
    }

    @Test
    public void malformedEntryRemovesTheUpstream() {
        write("upstream/one", "nonsense");
        time.advance(SEEN_MS);
        assertFalse(view.upstreams().containsKey(ONE));
    }

    @Test
    public void domainsAreDrainedAndRestored() {
        write("empty/milano", "{}");
        time.advance(SEEN_MS);
        assertTrue(view.drainedDomains().contains(TrafficFixtures.MILANO));
        remove("empty/milano");
        time.advance(SEEN_MS);
        assertTrue(view.drainedDomains().isEmpty());
    }

    @Test
    public void lapsedInstanceStillCountsForAGracePeriod() {
        write("instance/a", "x");
        time.advance(SEEN_MS);
        remove("instance/a");
        time.advance(5_000);
        assertEquals(view.instances().size(), 1);
        time.advance(8_000);
        assertEquals(view.instances().size(), 0);
    }

    private long revision() {
        return view.routes().orElseThrow().config().revision().value();
    }

    private FleetWatcher createWatcher() {
        FleetWatcher.Context context = new FleetWatcher.Context(
                time.clock(), time::schedule, freshness, TrafficFixtures.BOUNDS, EventSink.NONE);
        return new FleetWatcher(store, TrafficFixtures::decode, SELF, context, newView -> view = newView);
    }

    private void write(String key, String value) {
        store.table().commit(new Txn(List.of(), List.of(Txn.Put.of(key, value)), List.of()));
    }

    private void remove(String key) {
        store.table().commit(new Txn(List.of(), List.of(), List.of(key)));
    }
}
