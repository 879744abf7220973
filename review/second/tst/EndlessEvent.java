import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminspur.standin.raw.RawUpstream;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;

/**
 * A faulty model server sends bodies without an end, in which no event ends. Requests to another service must still be answered
 * by half a second after their route's time-out.
 */
final class EndlessEvent {
    private static final int ROUTERS = 3;

    /** Streams that go to each router; about half of them reach the faulty server, which has 64 slots. */
    private static final int STREAMS = 40;

    private static final long ROUTE_TIMEOUT_MS = 3_000;
    private static final long STREAM_TIMEOUT_MS = 12_000;
    private static final long SLACK_MS = 500;

    /** Longest time for which a judged caller waits. */
    private static final int PATIENCE_MS = 8_000;

    private static final long JUDGED_MS = 14_000;
    private static final long JUDGED_INTERVAL_MS = 200;
    private static final int PIECE_BYTES = 1_000;
    private static final long PIECE_INTERVAL_MS = 10;
    private static final int FEWEST_LATE = 8;

    private record Judged(int router, String id, long sentMillis, long answeredAfterMillis, String outcome) {}

    private EndlessEvent() {}

    public static void main(String[] arguments) throws IOException {
        Deployment.main(arguments, EndlessEvent::run);
    }

    private static int run(Deployment deployment) throws Exception {
        AtomicInteger faultyStreams = new AtomicInteger();
        StandinServer sound = new StandinServer("model-a", StandinServer.pacedEventStream(100, 100));
        StandinServer faulty = new StandinServer("model-b", (connection, request) -> {
            faultyStreams.incrementAndGet();
            return sendPieces(connection, request);
        });
        StandinServer plain = new StandinServer("app-a", StandinServer.plainAnswer("done"));
        OperatorConfigBuilder config = new OperatorConfigBuilder()
                .service("model", false)
                .service("app", false)
                .route("/chat/", "stream", "model", 2, STREAM_TIMEOUT_MS)
                .route("/book/", "non_idempotent", "app", 1, ROUTE_TIMEOUT_MS)
                .account("account", "key");
        deployment.store.put(
                "servers/model-a", OperatorConfigBuilder.serverEntry("model", sound.port(), "a", "ready", 0));
        deployment.store.put(
                "servers/model-b", OperatorConfigBuilder.serverEntry("model", faulty.port(), "a", "ready", 0));
        deployment.store.put("servers/app-a", OperatorConfigBuilder.serverEntry("app", plain.port(), "a", "ready", 0));
        deployment.store.put("op/config", config.nextVersion());
        List<Deployment.Router> routers = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(deployment.startRouter("router-" + i, "a"));
        }
        Deployment.sleep(4_000);
        for (int i = 0; i < ROUTERS * STREAMS; i++) {
            int number = i;
            Deployment.start(() -> stream(deployment, routers.get(number % ROUTERS), "stream-" + number));
        }
        deployment.log(ROUTERS * STREAMS + " streams sent");
        List<Judged> judged = judge(deployment, routers);
        return verdict(deployment, judged, plain, faultyStreams.get());
    }

    /** Sends an event and then pieces of a next one that never ends, until the caller closes; without trouble, events. */
    private static boolean sendPieces(RawUpstream.Connection connection, StandinServer.Request request)
            throws IOException {
        connection.send(StandinServer.answerHead(
                200, request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        String text = "x".repeat(PIECE_BYTES);
        int first = request.lastEventId() + 1;
        StandinServer.sendChunk(connection, "id: " + first + "\ndata: begin\n\n");
        for (int event = first + 1; Deployment.trouble() || event <= 1_000; event++) {
            StandinServer.sendChunk(
                    connection, Deployment.trouble() ? text : "id: " + event + "\ndata: " + text + "\n\n");
            Deployment.sleep(PIECE_INTERVAL_MS);
        }
        connection.send("0\r\n\r\n");
        return true;
    }

    private static void stream(Deployment deployment, Deployment.Router router, String id) {
        String outcome;
        try (StandinCaller caller = new StandinCaller(router.port(), 30_000)) {
            caller.post("/chat/x", id, StandinCaller.deadlineHeader(STREAM_TIMEOUT_MS) + "Connection: close\r\n");
            String answer = caller.readToEnd();
            outcome = answer.lines().findFirst().orElse("closed") + ", " + answer.length() + " bytes, "
                    + (answer.endsWith("0\r\n\r\n") ? "complete" : "incomplete");
        } catch (IOException e) {
            outcome = e.toString();
        }
        deployment.note(id + " ended: " + outcome);
    }

    private static List<Judged> judge(Deployment deployment, List<Deployment.Router> routers)
            throws InterruptedException {
        List<Judged> judged = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        long end = deployment.millis() + JUDGED_MS;
        for (int round = 0; deployment.millis() < end; round++) {
            for (int i = 0; i < routers.size(); i++) {
                int router = i;
                String id = "judged-" + round + "-" + i;
                threads.add(Deployment.start(() -> {
                    Judged request = request(deployment, routers.get(router), router, id);
                    synchronized (judged) {
                        judged.add(request);
                    }
                }));
            }
            if (round % 5 == 0) {
                threads.add(Deployment.start(() -> deployment.log("ready: "
                        + routers.stream().map(Deployment::ready).toList())));
            }
            Deployment.sleep(JUDGED_INTERVAL_MS);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return judged;
    }

    private static Judged request(Deployment deployment, Deployment.Router router, int number, String id) {
        long sent = deployment.millis();
        String outcome;
        long took = Long.MAX_VALUE;
        try (StandinCaller caller = new StandinCaller(router.port(), PATIENCE_MS)) {
            caller.post("/book/x", id, StandinCaller.deadlineHeader(6_000));
            outcome = Integer.toString(caller.readAnswer().status());
            took = deployment.millis() - sent;
        } catch (IOException e) {
            outcome = "no answer: " + e;
        }
        deployment.note("router-" + number + " " + id + " sent at " + sent + " ms: " + outcome
                + (took == Long.MAX_VALUE ? "" : " after " + took + " ms"));
        return new Judged(number, id, sent, took, outcome);
    }

    private static int verdict(
            Deployment deployment, List<Judged> judged, StandinServer plain, int faultyStreams) {
        long late = judged.stream()
                .filter(request -> request.answeredAfterMillis() > ROUTE_TIMEOUT_MS)
                .count();
        long unanswered = judged.stream()
                .filter(request -> request.answeredAfterMillis() > ROUTE_TIMEOUT_MS + SLACK_MS)
                .count();
        long never = judged.stream()
                .filter(request -> request.answeredAfterMillis() == Long.MAX_VALUE)
                .count();
        long ran = plain.executedRequests().stream()
                .filter(request -> request.id().startsWith("judged-"))
                .count();
        deployment.log("streams at model-b: " + faultyStreams + "; judged requests: " + judged.size()
                + ", answered with 200: "
                + judged.stream().filter(request -> request.outcome().equals("200")).count()
                + ", run at app-a: " + ran);
        deployment.log("unanswered at " + ROUTE_TIMEOUT_MS + " ms: " + late + "; of these without an answer "
                + SLACK_MS + " ms later: " + unanswered + "; without an answer after " + PATIENCE_MS + " ms: "
                + never);
        return late >= FEWEST_LATE && 2 * unanswered > late ? Deployment.BROKEN : Deployment.HELD;
    }
}
