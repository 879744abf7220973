package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.stream.IntStream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks with real instances that a part of a prompt cannot crash one server after the other. */
public class CrashingPromptTest {
    private static final int INSTANCES = 3;
    private static final int SERVERS = 5;
    private static final int REQUESTS = 20;
    private static final int OK = 200;

    /** Crashes after which the part must be known, and requests that may still reach servers then. */
    private static final int MAX_SENDS = 8;

    /** Time between requests, in which what one crash shows reaches all instances. */
    private static final long GAP_MS = 150;

    /** Time in which servers are back, and an instance that starts has heard what the others know. */
    private static final long RECOVERY_MS = 1_500;

    private CrashingServers fleet;

    @BeforeClass
    public void start() {
        fleet = new CrashingServers(INSTANCES, SERVERS);
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    @BeforeMethod
    public void sendSound() {
        Deployment.pause(RECOVERY_MS);
        assertSoundRequestsAreServed("before");
    }

    @Test
    public void fewRequestsWithThePartReachServers() {
        sendCrashing("bad0", 0, REQUESTS);
        long sends = fleet.crashingSends("bad0");
        assertTrue(sends <= MAX_SENDS, "sends " + sends);
        assertSoundRequestsAreServed("after");
    }

    @Test
    public void oneRequestCrashesOneServer() {
        fleet.call(0, CrashingServers.LATE_HEAD_PATH, "single", "a0:500,bad1:400");
        assertEquals(fleet.crashingSends("bad1"), 1);
    }

    @Test
    public void instanceThatStartsLearnsThePart() {
        sendCrashing("bad2", 0, REQUESTS);
        int started = fleet.startInstance();
        Deployment.pause(RECOVERY_MS);
        long before = fleet.crashingSends("bad2");
        IntStream.range(0, 3).forEach(i -> send(started, REQUESTS + i, "bad2"));
        assertEquals(fleet.crashingSends("bad2"), before);
    }

    private void sendCrashing(String part, int from, int to) {
        for (int i = from; i < to; i++) {
            send(i % INSTANCES, i, part);
            Deployment.pause(GAP_MS);
        }
    }

    /** Sends a request whose shared parts, but for the crashing one, are those of sound requests. */
    private void send(int instance, int number, String part) {
        String path = number % 4 < 2 ? CrashingServers.EARLY_HEAD_PATH : CrashingServers.LATE_HEAD_PATH;
        String other = "b" + number % INSTANCES + ":400";
        String parts = number % 2 == 0 ? part + ":400," + other : other + "," + part + ":400";
        fleet.call(instance, path, part + "-" + number, "a0:500," + parts);
    }

    private void assertSoundRequestsAreServed(String name) {
        IntStream.range(0, INSTANCES)
                .forEach(i -> assertEquals(
                        fleet.call(i, CrashingServers.EARLY_HEAD_PATH, name + "-" + i, "a0:500,b" + i + ":400"), OK));
    }
}
