package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import org.cuminspur.standin.users.StoreSwitches;
import org.cuminspur.standin.users.UsersCaller;
import org.cuminspur.standin.users.UsersConfig;
import org.cuminspur.standin.users.UsersServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks what an instance does while its store changes, is away or loses things, and while it stops. */
public class FleetStateTest {
    private Deployment deployment;

    @BeforeMethod
    public void start() {
        deployment = new Deployment();
    }

    @AfterMethod
    public void stop() {
        deployment.close();
    }

    @Test
    public void aRevokedKeyIsRefusedSoon() {
        deployment.config.account("account", "other");
        deployment.publish();
        Deployment.await("refused", () -> deployment.status("/book/x") == 401);
    }

    @Test
    public void keysAreNotTrustedWithoutTheStoreAndAreAgainAfterwards() {
        deployment.store.switches().mode(StoreSwitches.Mode.REFUSING);
        assertEquals(deployment.status("/book/x"), 200);
        Deployment.pause(4_500);
        long began = System.nanoTime();
        assertEquals(deployment.status("/book/x"), 503);
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
        assertTrue(millis < 200, "refused only after " + millis + " ms");
        assertTrue(!deployment.ready());
        deployment.store.switches().mode(StoreSwitches.Mode.UP);
        Deployment.await("served again", () -> deployment.status("/book/x") == 200 && deployment.ready());
    }

    @Test
    public void callersAreSentElsewhereBeforeKeysAreRefused() throws IOException {
        deployment.store.switches().mode(StoreSwitches.Mode.REFUSING);
        Deployment.pause(3_600);
        try (UsersCaller caller = deployment.caller()) {
            caller.post("/book/x", "doubtful", "");
            UsersCaller.Answer answer = caller.answer();
            assertEquals(answer.status(), 200);
            assertTrue(answer.has("Connection: close"), answer.head());
        }
        assertTrue(!deployment.ready());
        UsersCaller.Answer stream = deployment.post("/chat/x", "doubtful-stream", "");
        assertTrue(stream.has("Connection: close") && stream.has("Transfer-Encoding: chunked"), stream.head());
        Deployment.pause(1_500);
        UsersCaller.Answer refusal = deployment.post("/book/x", "stale", "");
        assertEquals(refusal.status(), 503);
        assertTrue(refusal.has("Retry-After: 0.0"), refusal.head());
    }

    @Test
    public void aSilentStoreIsLeftForANewConnection() {
        deployment.store.switches().mode(StoreSwitches.Mode.SILENT);
        Deployment.pause(1_500);
        deployment.store.switches().mode(StoreSwitches.Mode.UP);
        deployment.config.account("account", "other");
        deployment.publish();
        Deployment.await("refused", () -> deployment.status("/book/x") == 401);
    }

    @Test
    public void deafWatchesAndDroppedHistoryHideNoChange() {
        deployment.store.switches().deafWatches(true);
        deployment.config.account("account", "other");
        deployment.publish();
        Deployment.await("seen by confirmation", () -> deployment.status("/book/x") == 401);
        deployment.config.account("account", "key");
        deployment.publish();
        deployment.store.switches().dropHistory(Long.MAX_VALUE);
        deployment.store.switches().deafWatches(false);
        Deployment.await("seen by a new read", () -> deployment.status("/book/x") == 200);
    }

    @Test
    public void aLostReplyOfTheRegistrationIsMended() {
        deployment.close();
        deployment = new Deployment(store -> store.switches().loseReplies(1));
        Deployment.await("failed", () -> deployment.emitted("registration-failed"));
        Deployment.await("registered", () -> deployment.emitted("instance-registered"));
        assertEquals(deployment.store.count("cuminspur/instance/"), 1);
    }

    @Test
    public void aLeavingServerGetsNothingMore() throws IOException {
        deployment.app("app-a", deployment.appA, "draining");
        Deployment.pause(300);
        int before = deployment.appA.runs().size();
        for (int i = 0; i < 10; i++) {
            assertEquals(deployment.post("/book/x", "leaving-" + i, "").status(), 200);
        }
        assertEquals(deployment.appA.runs().size(), before);
    }

    @Test
    public void anEmptiedZoneGetsNothing() {
        deployment.store.put("op/evacuate/a", "{}");
        Deployment.await("refused", () -> deployment.status("/book/x") == 503);
        deployment.store.remove("op/evacuate/a");
        Deployment.await("served", () -> deployment.status("/book/x") == 200);
    }

    @Test
    public void anAddressUsedAgainByAnotherServerRunsNothing() throws IOException {
        try (UsersServer other = new UsersServer("another", UsersServer.plain("done"))) {
            deployment.app("app-a", other, "ready");
            Deployment.pause(300);
            for (int i = 0; i < 10; i++) {
                assertEquals(deployment.post("/book/x", "moved-" + i, "").status(), 200);
            }
            assertEquals(other.runs().size(), 0);
        }
    }

    @Test
    public void anUpstreamThatTakesNoConnectionIsLeftForAnotherOne() throws IOException {
        // Connections beyond the queue of a socket that accepts none are not refused, but never made.
        try (ServerSocket dark = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                UsersCaller first = new UsersCaller(dark.getLocalPort());
                UsersCaller second = new UsersCaller(dark.getLocalPort())) {
            deployment.store.put("servers/app-a", UsersConfig.server("app", dark.getLocalPort(), "a", "ready", 0));
            Deployment.pause(300);
            for (int i = 0; i < 6; i++) {
                long began = System.nanoTime();
                assertEquals(deployment.post("/book/x", "dark-" + i, "").status(), 200);
                long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
                assertTrue(millis < 600, "served only after " + millis + " ms");
            }
        }
        assertTrue(deployment.emitted("upstream-left-out"));
    }

    @Test
    public void aMalformedEntryNamesNoServer() {
        deployment.store.put("servers/app-a", "{\"state\":7}");
        deployment.store.put("servers/app-b", "not json");
        Deployment.await("no server left", () -> deployment.status("/book/x") == 503);
        deployment.app("app-a", deployment.appA, "ready");
        Deployment.await("served", () -> deployment.status("/book/x") == 200);
        assertTrue(deployment.emitted("entry-ignored"));
    }

    @Test
    public void aPlannedStopFinishesWhatIsInProgressAndClosesIdleConnections() throws Exception {
        deployment.modelA.behave(slow());
        deployment.modelB.behave(slow());
        try (UsersCaller busy = deployment.caller();
                UsersCaller idle = deployment.caller()) {
            idle.post("/book/x", "idle-1", "");
            assertEquals(idle.answer().status(), 200);
            busy.post("/draft/x", "busy", "");
            Deployment.pause(200);
            Thread stop = new Thread(deployment.router::stop);
            stop.start();
            Deployment.await("unready", () -> !deployment.ready());
            idle.post("/book/x", "idle-2", "");
            UsersCaller.Answer last = idle.answer();
            assertEquals(last.status(), 200);
            assertTrue(last.has("Connection: close"), last.head());
            assertEquals(busy.answer().status(), 200);
            stop.join(10_000);
            assertTrue(!stop.isAlive());
        }
    }

    /** Answers with a stream that takes three seconds. */
    private static UsersServer.Behaviour slow() {
        return (connection, request) -> {
            connection.send(UsersServer.head(200, request, "Transfer-Encoding: chunked\r\n"));
            for (int event = 1; event <= 30; event++) {
                UsersServer.chunk(connection, UsersServer.event(event));
                Deployment.pause(100);
            }
            connection.send("0\r\n\r\n");
            return true;
        };
    }
}
