package org.cuminspur.router.internal.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.cuminspur.config.AccountSpec;
import org.cuminspur.config.FleetConfig;
import org.cuminspur.config.Objective;
import org.cuminspur.config.Priority;
import org.cuminspur.config.RouteSpec;
import org.cuminspur.config.ServiceKind;
import org.cuminspur.config.ServiceSpec;
import org.cuminspur.http.client.Cancellation;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.Revision;
import org.cuminspur.id.RouteId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.retry.AttemptEvent;
import org.cuminspur.routing.RouteTable;
import org.cuminspur.routing.RoutingSnapshot;
import org.cuminspur.routing.UpstreamSet;
import org.cuminspur.routing.UpstreamTracker;
import org.cuminspur.routing.UpstreamView;
import org.cuminspur.time.Clock;
import org.testng.annotations.Test;

/** Checks that a retry uses the newest snapshot: an upstream taken out since the first attempt gets none. */
public class UpstreamAttemptTest {
    private static final ServiceId STOCK = new ServiceId("stock");
    private static final int CLOSED_PORT = 1;
    private static final long DEADLINE_MS = 10_000;

    @Test
    public void retryDoesNotUseAnUpstreamRemovedSinceTheFirstAttempt() {
        AtomicReference<RoutingSnapshot> newest = new AtomicReference<>(twoUpstreams());
        assertEquals(secondAttempt(newest::get, () -> newest.set(snapshot())), new AttemptEvent.NoUpstream());
    }

    @Test
    public void retryOnAStaleSnapshotWouldUseTheRemovedUpstream() {
        RoutingSnapshot stale = twoUpstreams();
        assertNotEquals(secondAttempt(() -> stale, () -> {}), new AttemptEvent.NoUpstream());
    }

    private static AttemptEvent secondAttempt(Supplier<RoutingSnapshot> snapshots, Runnable beforeRetry) {
        Clock clock = Clock.system();
        try (HttpClient http = new HttpClient(clock, 1, DEADLINE_MS)) {
            UpstreamAttempt attempt = new UpstreamAttempt(
                    http, clock, new MetricRegistry(), snapshots, request(clock), new Cancellation());
            assertNotEquals(attempt.send(), new AttemptEvent.NoUpstream());
            beforeRetry.run();
            AttemptEvent second = attempt.send();
            attempt.close();
            return second;
        }
    }

    private static RoutingSnapshot twoUpstreams() {
        return snapshot(view("stock-1"), view("stock-2"));
    }

    private static RoutingSnapshot snapshot(UpstreamView... views) {
        ServiceSpec service =
                new ServiceSpec(STOCK, ServiceKind.PLAIN, 1.25, 16, 2, 1_000, new Objective(0.95, 580, 42));
        UpstreamSet set = new UpstreamSet(service, views);
        return new RoutingSnapshot(new Revision(1), new RouteTable(FleetConfig.EMPTY), Map.of(STOCK, set), true, true);
    }

    private static UpstreamView view(String name) {
        FailureDomainId domain = new FailureDomainId("noord-a");
        return new UpstreamView(
                new UpstreamId(name), "127.0.0.1", CLOSED_PORT, domain, 1, 16, 0, new UpstreamTracker());
    }

    private static RoutedRequest request(Clock clock) {
        AccountSpec account = new AccountSpec(new AccountId("buyers"), "", Priority.NORMAL, 100, 100);
        RouteSpec route = new RouteSpec(
                new RouteId("stock"), STOCK, "*", "/stock", "", true, "", Priority.NORMAL, DEADLINE_MS, Set.of());
        CallerRequest request =
                new CallerRequest("GET", "/stock", "/stock", List.of(), new byte[0], MissingNode.getInstance());
        return new RoutedRequest(request, account, route, 7, Priority.NORMAL, clock.millis() + DEADLINE_MS);
    }
}
