package org.cuminspur.traffic;

import org.cuminspur.event.EventSink;
import org.cuminspur.id.InstanceId;
import org.cuminspur.store.PolledStore;
import org.cuminspur.testing.SimulatedStore;
import org.cuminspur.testing.StoreFaults;
import org.cuminspur.testing.VirtualTime;

/** One process of an instance with its view of the fleet, in virtual time; not thread-safe. */
final class SimulatedView {
    /** Share of the revocation bound within which a view is current. */
    private static final double CURRENT_SHARE = 0.85;

    private static final long NOTICE_MS = 300;

    private final InstanceId id;
    private final VirtualTime time;
    private final SimulatedStore store;
    private final StoreFaults faults;
    private final EraPolicy policy;
    private final long startedMillis;
    private final ViewFreshness freshness;
    private FleetView view = FleetView.EMPTY;
    private long lastCutMillis = Long.MIN_VALUE;
    private boolean cut;
    private boolean storeAway;
    private boolean killed;
    private boolean storeReturned;

    SimulatedView(InstanceId id, VirtualTime time, SimulatedStore store, StoreFaults faults, EraPolicy policy) {
        this.id = id;
        this.time = time;
        this.store = store;
        this.faults = faults;
        this.policy = policy;
        startedMillis = time.nowMillis();
        freshness = new ViewFreshness(time.clock(), time.clock());
    }

    void watch(PolledStore seen) {
        FleetWatcher.Context context = new FleetWatcher.Context(
                time.clock(), time::schedule, freshness, TrafficFixtures.BOUNDS, EventSink.NONE);
        new FleetWatcher(seen, TrafficFixtures::decode, id, context, newView -> view = newView).start();
    }

    InstanceId id() {
        return id;
    }

    FleetView view() {
        return view;
    }

    /** Returns the configuration in force, 0 if there is none. */
    long version() {
        return view.routes().map(routes -> routes.config().revision().value()).orElse(0L);
    }

    /** Returns whether requests with a key are accepted. */
    boolean accepts(String key) {
        return trusts()
                && view.routes()
                        .map(routes -> routes.config().accountsByKey().containsKey(key))
                        .orElse(false);
    }

    /** Returns whether requests to a route that was added are served by it. */
    boolean routes(String prefix) {
        return view.routes()
                .flatMap(routes -> routes.route("host", prefix + "x"))
                .map(route -> route.prefix().equals(prefix))
                .orElse(false);
    }

    /** Returns whether keys are trusted. */
    boolean trusts() {
        boolean current = freshness.ageMillis() < CURRENT_SHARE * TrafficFixtures.BOUNDS.maxRevocationDelayMillis();
        return current && !(storeReturned && policy == EraPolicy.NEVER_CONFIRMS_AGAIN);
    }

    /** Returns since when the process ran with a way to the store. */
    long undisturbedSinceMillis() {
        return cut ? Long.MAX_VALUE : Math.max(startedMillis, lastCutMillis);
    }

    long startedMillis() {
        return startedMillis;
    }

    long readsAndWatches() {
        return store.readCount() + store.watchCount();
    }

    long writes() {
        return store.writeCount();
    }

    void cut(boolean now) {
        cut = now;
        lastCutMillis = time.nowMillis();
        setOutage();
    }

    void storeAway(boolean now) {
        storeAway = now;
        storeReturned |= !now;
        setOutage();
        if (!now && policy == EraPolicy.FORGETS_ALL) {
            time.schedule(NOTICE_MS, () -> watch(store));
        }
    }

    void loseReplies(double probability) {
        faults.replyLossProbability(probability);
    }

    void kill() {
        killed = true;
        setOutage();
    }

    private void setOutage() {
        faults.outage(cut || storeAway || killed);
    }
}
