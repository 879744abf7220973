package org.cuminspur.router;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminspur.http.platform.EtcdStore;
import org.cuminspur.http.platform.PlatformAddress;
import org.cuminspur.id.Revision;
import org.cuminspur.pgm.ExitCode;
import org.cuminspur.pgm.Main;
import org.cuminspur.publish.Backoff;
import org.cuminspur.publish.PublishResult;
import org.cuminspur.publish.Publisher;
import org.cuminspur.standin.fleet.ChildProcess;
import org.cuminspur.standin.fleet.LocalFleet;
import org.cuminspur.time.Clock;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Runs operator commands while routers are killed or frozen and the platform is down or loses replies.
 *
 * <p>Each test starts from the state that the previous one left.
 */
public class OperatorFaultsTest {
    private static final long TIMEOUT_MS = 60_000;

    private LocalFleet fleet;

    @BeforeClass
    public void start() {
        fleet = new LocalFleet();
        fleet.startRouter("router-1", "noord-a");
        fleet.startRouter("router-2", "noord-b");
        fleet.startRouter("router-3", "noord-c");
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    @Test
    public void publishSucceedsAlthoughTheStoresReplyIsLost() {
        fleet.setFaults("platform", "{\"lose_replies\":1}");
        assertEquals(publish("one"), "DONE revision 1 is in force on 3 of 3 instances\n");
    }

    @Test(dependsOnMethods = "publishSucceedsAlthoughTheStoresReplyIsLost")
    public void resumedRouterAppliesTheNewestRevision() {
        ChildProcess frozen = fleet.process("router-2");
        frozen.freeze();
        assertEquals(commit("two"), new PublishResult.Published(new Revision(2)));
        assertEquals(commit("three"), new PublishResult.Published(new Revision(3)));
        fleet.process("router-3").awaitLine(line -> line.contains("revision-applied 3"));
        frozen.resume();
        frozen.awaitLine(line -> line.contains("revision-applied 3"));
        List<Long> applied = revisions("router-2");
        assertEquals(applied, applied.stream().sorted().distinct().toList());
        assertEquals(applied.get(applied.size() - 1), 3L);
    }

    @Test(dependsOnMethods = "resumedRouterAppliesTheNewestRevision")
    public void takeOutAppliesToAllRoutersWhileTheStoreIsDown() {
        fleet.setFaults("platform", "{\"outage\":true}");
        assertEquals(
                run("take-out", "--by", "ada", "domain/noord-c"),
                "DONE domain/noord-c is out of service on 3 of 3 instances\n");
    }

    @Test(dependsOnMethods = "takeOutAppliesToAllRoutersWhileTheStoreIsDown")
    public void routerStartedWhileTheStoreIsDownLearnsFromPeers() {
        fleet.startRouter("router-4", "noord-a");
        fleet.process("router-4").awaitLine(line -> line.contains("revision-applied 3 from router-"));
        fleet.process("router-4").awaitLine(line -> line.contains("taken-out domain/noord-c by ada"));
    }

    @Test(dependsOnMethods = "routerStartedWhileTheStoreIsDownLearnsFromPeers")
    public void orderSurvivesTheRouterThatAcceptedIt() {
        fleet.process("router-1").kill();
        fleet.removeFromList("router-1");
        fleet.setFaults("platform", "{\"outage\":false}");
        assertEquals(publish("four"), "DONE revision 4 is in force on 3 of 3 instances\n");
        fleet.process("router-2").kill();
        fleet.process("router-3").kill();
        fleet.process("router-4").kill();
        List.of("router-2", "router-3", "router-4").forEach(fleet::removeFromList);
        fleet.startRouter("router-5", "noord-a");
        fleet.process("router-5").awaitLine(line -> line.contains("revision-applied 4 from store"));
        fleet.process("router-5").awaitLine(line -> line.contains("taken-out domain/noord-c by ada"));
    }

    private List<Long> revisions(String name) {
        List<Long> applied = new ArrayList<>();
        fleet.process(name).lines().stream()
                .filter(line -> line.contains("revision-applied "))
                .map(line -> line.replaceAll(".*revision-applied ([0-9]+).*", "$1"))
                .map(Long::valueOf)
                .forEach(applied::add);
        return applied;
    }

    private String publish(String note) {
        return run("publish", fleet.writeServiceFile("stock", text(note)).toString());
    }

    /** Publishes without waiting until the revision is in force, since a frozen router would delay that. */
    private PublishResult commit(String note) {
        CompletableFuture<PublishResult> result = new CompletableFuture<>();
        PlatformAddress address = new PlatformAddress("127.0.0.1", fleet.platformPort());
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        Backoff backoff = new Backoff(
                Clock.system(),
                (delay, action) -> timer.schedule(action, delay, TimeUnit.MILLISECONDS),
                new Random(1),
                TIMEOUT_MS);
        try (EtcdStore store = new EtcdStore(fleet.http(), address, TIMEOUT_MS)) {
            Map<String, String> files = Map.of("stock.cuminspur.ini", text(note));
            new Publisher(store, "publication-" + note, files, Set.of(), backoff, result::complete).start();
            return result.join();
        } finally {
            timer.shutdownNow();
        }
    }

    private static String text(String note) {
        return "[service stock]\nkind = plain\n# " + note + "\n";
    }

    private String run(String command, String... arguments) {
        List<String> line = new ArrayList<>(
                List.of(command, "--settings", fleet.writeOperatorSettings().toString(), "--timeout", "60"));
        line.addAll(List.of(arguments));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        ExitCode code = Main.run(stream, System.err, line.toArray(String[]::new));
        return code + " " + out.toString(StandardCharsets.UTF_8);
    }
}
