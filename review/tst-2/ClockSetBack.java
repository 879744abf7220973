import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinCaller;

/**
 * A server starts again under its id, with another software version, after the clock of its machine was set back, so that its
 * start is stated as earlier than the one before. Streams that callers take up must go on at the version that began them.
 */
final class ClockSetBack {
    private static final int ROUTERS = 2;
    private static final int STREAMS = 24;
    private static final int EVENTS_BEFORE_CLOSE = 10;

    /** How far the clock is set back, and the time from the server's first start to its second one. */
    private static final long CLOCK_STEP_MS = 2_400;

    private static final long RESTART_AFTER_MS = 2_000;

    /** Time for all routers to learn of the second start; far above every bound. */
    private static final long SETTLE_MS = 12_000;

    private static final long STREAM_TIMEOUT_MS = 12_000;
    private static final int ALLOWED_MIXED = 2;
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+)\n");

    private ClockSetBack() {}

    public static void main(String[] arguments) throws IOException {
        Deployment.main(arguments, ClockSetBack::run);
    }

    private static int run(Deployment deployment) throws Exception {
        RestartableServer first = new RestartableServer(deployment, "model-a");
        RestartableServer second = new RestartableServer(deployment, "model-b");
        OperatorConfigBuilder config = new OperatorConfigBuilder()
                .service("model", false)
                .route("/chat/", "stream", "model", 2, STREAM_TIMEOUT_MS)
                .account("account", "key");
        deployment.store.put("op/config", config.nextVersion());
        long clockMillis = System.currentTimeMillis();
        first.start("v1");
        put(deployment, first, "model-a", "v1", clockMillis - 60_000);
        List<Deployment.Router> routers = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(deployment.startRouter("router-" + i, "a"));
        }
        long startMillis = deployment.millis();
        long startClockMillis = System.currentTimeMillis();
        second.start("v1");
        put(deployment, second, "model-b", "v1", startClockMillis);
        Deployment.sleep(startMillis + RESTART_AFTER_MS - deployment.millis());
        second.stop();
        Deployment.sleep(300);
        second.start("v2");
        long step = Deployment.trouble() ? CLOCK_STEP_MS : 0;
        put(deployment, second, "model-b", "v2", System.currentTimeMillis() - step);
        Deployment.sleep(SETTLE_MS);

        Set<String> mixed = ConcurrentHashMap.newKeySet();
        AtomicInteger resumed = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            int number = i;
            threads.add(Deployment.start(() -> stream(deployment, routers, number, mixed, resumed)));
            Deployment.sleep(100);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        deployment.log("streams: " + STREAMS + ", taken up and gone on: " + resumed + ", with events of two versions: "
                + mixed.size());
        return mixed.size() > ALLOWED_MIXED ? Deployment.BROKEN : Deployment.HELD;
    }

    private static void put(
            Deployment deployment, RestartableServer server, String id, String version, long bornMillis) {
        String entry = OperatorConfigBuilder.serverEntry("model", version, server.port(), "a", "ready", 0)
                .replace("\"born\":1}", "\"born\":" + bornMillis + "}");
        deployment.store.put("servers/" + id, entry);
        deployment.log("servers/" + id + " = " + entry);
    }

    /** Reads some events, closes the channel and takes the stream up again at another router. */
    private static void stream(
            Deployment deployment,
            List<Deployment.Router> routers,
            int number,
            Set<String> mixed,
            AtomicInteger resumed) {
        String id = "stream-" + number;
        String before = "";
        String after = "";
        try (StandinCaller caller = new StandinCaller(routers.get(number % ROUTERS).port())) {
            caller.post("/chat/x", id, StandinCaller.deadlineHeader(STREAM_TIMEOUT_MS));
            before = caller.readUntil("id: " + EVENTS_BEFORE_CLOSE, "\n\n");
        } catch (IOException e) {
            deployment.note(id + ": " + e);
        }
        try (StandinCaller caller =
                new StandinCaller(routers.get((number + 1) % ROUTERS).port())) {
            caller.post(
                    "/chat/x",
                    id + "-again",
                    StandinCaller.deadlineHeader(STREAM_TIMEOUT_MS) + "Last-Event-Id: " + EVENTS_BEFORE_CLOSE
                            + "\r\nResumes: " + id + "\r\n");
            StandinCaller.Answer answer = caller.readAnswer();
            after = answer.body();
            deployment.note(id + "-again: " + answer.status());
        } catch (IOException e) {
            deployment.note(id + "-again: " + e);
        }
        Set<String> versions = versions(before);
        Set<String> later = versions(after);
        resumed.addAndGet(later.isEmpty() ? 0 : 1);
        deployment.note(id + ": versions of its events: " + versions + ", after it was taken up: " + later);
        versions.addAll(later);
        if (versions.size() > 1) {
            mixed.add(id);
        }
    }

    private static Set<String> versions(String text) {
        Set<String> versions = new HashSet<>();
        Matcher event = EVENT.matcher(text);
        while (event.find()) {
            versions.add(event.group(2));
        }
        return versions;
    }
}
