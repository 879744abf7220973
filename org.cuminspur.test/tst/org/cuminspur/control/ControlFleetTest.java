package org.cuminspur.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.cuminspur.control.Target.Kind;
import org.cuminspur.id.Revision;
import org.cuminspur.publish.Backoff;
import org.cuminspur.publish.PublishResult;
import org.cuminspur.publish.Publisher;
import org.cuminspur.testing.SimulatedControlFleet;
import org.cuminspur.testing.SimulatedStore;
import org.testng.annotations.Test;

/** Checks that publications and operators' orders reach every router. */
public class ControlFleetTest {
    private static final List<String> DOMAINS = List.of("milano", "torino", "verona");

    @Test
    public void publishedRevisionReachesEveryRouter() {
        SimulatedControlFleet fleet = new SimulatedControlFleet(1);
        fleet.startRouters(6, DOMAINS);
        fleet.advance(2_000);
        AtomicReference<PublishResult> result = new AtomicReference<>();
        new Publisher(
                        new SimulatedStore(
                                fleet.time(),
                                fleet.random(),
                                fleet.storeTable(),
                                fleet.router("router-0").store().faults()),
                        "publication-1",
                        Map.of("stock.ini", "[service stock]\nkind = plain\n"),
                        Set.of(),
                        new Backoff(fleet.time().clock(), fleet.time()::schedule, fleet.random(), 10_000),
                        result::set)
                .start();
        fleet.advance(4_000);
        assertEquals(result.get(), new PublishResult.Published(new Revision(1)));
        assertTrue(fleet.routers()
                .allMatch(router -> router.core().snapshot().revision().value() == 1));
    }

    @Test
    public void orderSpreadsWhileTheStoreIsDown() {
        SimulatedControlFleet fleet = new SimulatedControlFleet(2);
        fleet.startRouters(6, DOMAINS);
        fleet.advance(2_000);
        fleet.routers().forEach(router -> router.store().faults().outage(true));
        fleet.router("router-0")
                .accept(new ControlInput.OrderSubmitted(new Target(Kind.DOMAIN, "verona"), true, "test"));
        fleet.advance(4_000);
        assertTrue(fleet.routers()
                .allMatch(router -> router.core().state().orders().anyMatch(Order::out)));
    }
}
