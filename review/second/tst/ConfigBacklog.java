import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.stream.Collectors;
import org.cuminspur.standin.users.CutLink;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;

/**
 * Three series of 25 configurations are acknowledged while the store turns one machine of three away. The last one moves a route to
 * another service. Once the store has served the machine again for contact_ms, requests to that route must run at the new one.
 */
final class ConfigBacklog {
    /** Routes of the deployment without requests, and those that the configuration has grown by. */
    private static final int IDLE_ROUTES = 240;

    private static final int ADDED_ROUTES = 1_640;

    private static final int ROUTERS = 3;
    private static final int SERIES = 3;
    private static final int VERSIONS = 25;
    private static final long VERSION_INTERVAL_MS = 60;
    private static final long SERIES_INTERVAL_MS = 2_800;

    /** Time for which the store turns the machine away. */
    private static final long AWAY_MS = 9_000;

    private static final long HISTORY_MS = 20_000;
    private static final long CONTACT_MS = 4_000;
    private static final long CONFIG_MS = 3_000;

    /** Time from the return of the store for which requests are sent; longer than the history is kept. */
    private static final long AFTER_RETURN_MS = 16_000;

    private static final long REQUEST_INTERVAL_MS = 50;
    private static final long COMPACTION_INTERVAL_MS = 100;
    private static final int NO_ANSWER = 0;
    private static final int OK = 200;

    private record Write(long atMillis, long revision) {}

    private record Sent(String id, long sentMillis, int status) {}

    private final Deployment deployment;
    private final Deque<Write> writes = new ArrayDeque<>();
    private final OperatorConfigBuilder config = new OperatorConfigBuilder()
            .service("app", false)
            .service("app-next", false)
            .route("/moved/", "idempotent", "app", 2, 3_000)
            .route("/look/", "idempotent", "app", 2, 3_000)
            .account("account", "key");
    private volatile boolean ended;

    private ConfigBacklog(Deployment deployment) {
        this.deployment = deployment;
        for (int i = 0; i < IDLE_ROUTES + ADDED_ROUTES; i++) {
            config.route("/added-" + i + "-" + Integer.toHexString(i * 7919) + "/", "idempotent", "app", 2, 3_000);
        }
    }

    public static void main(String[] arguments) throws IOException {
        Deployment.main(arguments, deployment -> new ConfigBacklog(deployment).run());
    }

    private int run() throws Exception {
        StandinServer before = new StandinServer("app-a", StandinServer.plainAnswer("before"));
        StandinServer after = new StandinServer("app-b", StandinServer.plainAnswer("after"));
        deployment.store.put("servers/app-a", OperatorConfigBuilder.serverEntry("app", before.port(), "a", "ready", 0));
        deployment.store.put(
                "servers/app-b", OperatorConfigBuilder.serverEntry("app-next", after.port(), "a", "ready", 0));
        publish("app");
        Deployment.start(this::compactHistory);
        CutLink way = new CutLink(deployment.store.port());
        Deployment.Router router = deployment.startRouter("router-0", "a", CONFIG_MS, way.port());
        for (int i = 1; i < ROUTERS; i++) {
            deployment.startRouter("router-" + i, "a", CONFIG_MS);
        }
        Deployment.sleep(4_000);

        List<Sent> sent = new ArrayList<>();
        Thread callers = Deployment.start(() -> call(router, sent));
        Deployment.sleep(1_000);
        long awayMillis = deployment.millis();
        if (Deployment.trouble()) {
            way.mode(CutLink.Mode.RESET);
            deployment.log("the store resets the channels of router-0 and answers it nothing");
        }
        long movedMillis = publishSeries();
        Deployment.sleep(awayMillis + AWAY_MS - deployment.millis());
        way.mode(CutLink.Mode.WHOLE);
        long returnMillis = deployment.millis();
        deployment.log("the store serves the machine");
        Deployment.sleep(AFTER_RETURN_MS);
        ended = true;
        callers.join();
        return verdict(router, sent, before, Math.max(movedMillis + CONFIG_MS, returnMillis + CONTACT_MS));
    }

    /** Publishes the series; returns when the last configuration, which moves the route, was acknowledged. */
    private long publishSeries() {
        long start = deployment.millis();
        for (int series = 0; series < SERIES; series++) {
            for (int version = 1; version <= VERSIONS; version++) {
                boolean last = series == SERIES - 1 && version == VERSIONS;
                publish(last ? "app-next" : "app");
                Deployment.sleep(VERSION_INTERVAL_MS);
            }
            deployment.log(VERSIONS + " configurations are acknowledged");
            Deployment.sleep(start + (series + 1) * SERIES_INTERVAL_MS - deployment.millis());
        }
        return deployment.millis();
    }

    private void publish(String serviceOfMovedRoute) {
        String route = "\"prefix\":\"/moved/\",\"kind\":\"idempotent\",\"service\":\"";
        String json = config.nextVersion();
        int at = json.indexOf(route + "app\"");
        int exempt = json.indexOf("\"auth_exempt\":false", at);
        String value = json.substring(0, at) + route + serviceOfMovedRoute
                + json.substring(at + route.length() + "app".length(), exempt) + "\"auth_exempt\":true"
                + json.substring(exempt + "\"auth_exempt\":false".length());
        long revision = deployment.store.put("op/config", value).number();
        synchronized (writes) {
            writes.add(new Write(deployment.millis(), revision));
        }
        deployment.note("acknowledged: configuration of " + value.length() + " bytes, /moved/ at " + serviceOfMovedRoute);
    }

    /** Drops changes from the store's history once they are as old as the settings say. */
    private void compactHistory() {
        while (!ended) {
            Deployment.sleep(COMPACTION_INTERVAL_MS);
            synchronized (writes) {
                while (!writes.isEmpty() && deployment.millis() - writes.peek().atMillis() > HISTORY_MS) {
                    deployment.store.faults().compactHistory(writes.poll().revision());
                }
            }
        }
    }

    private void call(Deployment.Router router, List<Sent> sent) {
        for (int i = 0; !ended; i++) {
            sent.add(request(router, "/moved/x", "moved-" + i));
            sent.add(request(router, "/look/x", "look-" + i));
            Deployment.sleep(REQUEST_INTERVAL_MS);
        }
    }

    private Sent request(Deployment.Router router, String path, String id) {
        long sentMillis = deployment.millis();
        int status = NO_ANSWER;
        try (StandinCaller caller = new StandinCaller(router.port(), 4_000)) {
            caller.post(path, id, StandinCaller.deadlineHeader(3_000));
            status = caller.readAnswer().status();
        } catch (IOException e) {
            deployment.note(id + ": " + e);
        }
        deployment.note(id + " sent at " + sentMillis + " ms: " + status);
        return new Sent(id, sentMillis, status);
    }

    private int verdict(Deployment.Router router, List<Sent> sent, StandinServer before, long sinceMillis)
            throws IOException {
        var ranBefore = before.executedRequests().stream()
                .map(StandinServer.Request::id)
                .collect(Collectors.toSet());
        List<Sent> judged = sent.stream()
                .filter(request -> request.sentMillis() > sinceMillis)
                .toList();
        List<Sent> stale = judged.stream()
                .filter(request -> request.id().startsWith("moved-") && ranBefore.contains(request.id()))
                .toList();
        stale.forEach(request -> deployment.note("run by the old service: " + request.id()));
        deployment.log("judged from " + sinceMillis + " ms: " + judged.size() + " requests; to the moved route and run by the"
                + " old service: " + stale.size()
                + (stale.isEmpty() ? "" : ", the last sent at " + stale.get(stale.size() - 1).sentMillis() + " ms"));
        deployment.log("requests with a key in this time: "
                + judged.stream().filter(request -> request.id().startsWith("look-")).count() + ", answered with 200: "
                + judged.stream()
                        .filter(request -> request.id().startsWith("look-") && request.status() == OK)
                        .count());
        try (var lines = Files.lines(router.log())) {
            deployment.log("lines with OutOfMemoryError in the router's log: "
                    + lines.filter(line -> line.contains("OutOfMemoryError")).count());
        }
        return stale.isEmpty() ? Deployment.HELD : Deployment.BROKEN;
    }
}
