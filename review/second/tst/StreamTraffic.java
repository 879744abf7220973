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
 * Callers of streams that may be resumed, at two or more routers, with model servers that can start again as another version;
 * thread-safe.
 *
 * <p>A caller whose channel breaks takes its stream up once, on a new channel at the next router.
 */
final class StreamTraffic {
    /** Below the 27.2 a second of `buyer-question`, so that one server has slots for all streams at once. */
    private static final double STREAMS_PER_S = 12;

    /** Slots of a server of `wolmodel`. */
    private static final int SLOTS = 64;

    /** Events of `buyer-question`; 250 ms are allowed between two. */
    private static final int EVENTS = 49;
    private static final long EVENT_INTERVAL_MS = 100;
    private static final long STREAM_TIMEOUT_MS = 12_000;

    /** More streams than these with events of two versions break the rule. */
    private static final int ALLOWED_MIXED = 2;

    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+)\n\n");

    private final Deployment deployment;
    private final List<Deployment.Router> routers;
    private final Set<String> mixed = ConcurrentHashMap.newKeySet();
    private final AtomicInteger takenUp = new AtomicInteger();
    private final AtomicInteger goneOn = new AtomicInteger();

    StreamTraffic(Deployment deployment, List<Deployment.Router> routers) {
        this.deployment = deployment;
        this.routers = routers;
    }

    /** Returns the configuration with one route and its service. */
    static String config() {
        return new OperatorConfigBuilder()
                .service("model", false)
                .route("/chat/", "stream", "model", 2, STREAM_TIMEOUT_MS)
                .account("account", "key")
                .nextVersion();
    }

    /** Creates a server of these streams that is not started. */
    static RestartableServer server(Deployment deployment, String id) {
        return new RestartableServer(deployment, id, EVENTS, EVENT_INTERVAL_MS);
    }

    /** Writes the entry of a server, as it does itself. */
    static void register(
            Deployment deployment, RestartableServer server, String id, String version, long bornMillis) {
        String entry = OperatorConfigBuilder.serverEntry("model", version, server.port(), "a", "ready", 0)
                .replace("\"born\":1}", "\"born\":" + bornMillis + "}")
                .replace("\"slots\":8,", "\"slots\":" + SLOTS + ",");
        deployment.store.put("servers/" + id, entry);
        deployment.log("servers/" + id + " = " + entry);
    }

    /** Sends a number of streams on a thread of their own, and ends with the last of them. */
    Thread send(int streams) {
        return Deployment.start(() -> sendAll(streams));
    }

    /** Logs the result and returns the exit code. */
    int verdict(int streams) {
        deployment.log("streams: " + streams + ", taken up by their callers: " + takenUp + ", gone on then: " + goneOn
                + ", with events of two versions: " + mixed.size());
        return mixed.size() > ALLOWED_MIXED ? Deployment.BROKEN : Deployment.HELD;
    }

    private void sendAll(int streams) {
        long startMillis = deployment.millis();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < streams; i++) {
            int number = i;
            threads.add(Deployment.start(() -> stream(number)));
            Deployment.sleep((long) (startMillis + i * 1_000 / STREAMS_PER_S) - deployment.millis());
        }
        try {
            for (Thread thread : threads) {
                thread.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void stream(int number) {
        String id = "stream-" + number;
        List<String> versions = versions(read(routers.get(number % routers.size()), id, ""));
        if (!versions.isEmpty() && versions.size() < EVENTS) {
            takenUp.incrementAndGet();
            String resume = "Last-Event-Id: " + versions.size() + "\r\nResumes: " + id + "\r\n";
            List<String> later =
                    versions(read(routers.get((number + 1) % routers.size()), id + "-again", resume));
            goneOn.addAndGet(later.isEmpty() ? 0 : 1);
            versions.addAll(later);
        }
        Set<String> distinct = new HashSet<>(versions);
        deployment.note(id + ": " + versions.size() + " events, of " + distinct);
        if (distinct.size() > 1) {
            mixed.add(id);
        }
    }

    /** Returns the body of the answer, as far as it came. */
    private String read(Deployment.Router router, String id, String headers) {
        try (StandinCaller caller = new StandinCaller(router.port())) {
            caller.post("/chat/x", id, StandinCaller.deadlineHeader(STREAM_TIMEOUT_MS) + headers);
            try {
                StandinCaller.Answer answer = caller.readAnswer();
                deployment.note(id + ": answered " + answer.status());
                return answer.body();
            } catch (IOException e) {
                deployment.note(id + ": broken off");
                return caller.receivedBody();
            }
        } catch (IOException e) {
            deployment.note(id + ": " + e);
            return "";
        }
    }

    /** Returns the software versions that the complete events name, one for each event. */
    private static List<String> versions(String text) {
        List<String> versions = new ArrayList<>();
        Matcher event = EVENT.matcher(text);
        while (event.find()) {
            versions.add(event.group(2));
        }
        return versions;
    }
}
