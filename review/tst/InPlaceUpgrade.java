import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

/** The last server of a software version is restarted with the next version while streams run. */
final class InPlaceUpgrade {
    private static final int EVENTS = 60;
    private static final long EVENT_GAP_MS = 100;
    private static final int STREAMS = 24;
    private static final long DOWN_MS = 50;

    /** Time until a server that has started registers; below a heartbeat, which is 1,200 ms. */
    private static final long REGISTER_MS = 200;

    private static final long RETRY_DELAY_MS = 100;
    private static final int DEADLINE_MS = 15_000;

    /** ORDER is broken by more streams than this. */
    private static final int ALLOWED = 2;

    public static void main(String[] args) throws Exception {
        Harness h = new Harness(args[0]);
        try {
            run(h);
        } catch (IOException | RuntimeException e) {
            h.end(2, "the case could not run: " + e);
        }
    }

    private static void run(Harness h) throws Exception {
        h.config.service("model", false).route("/chat/", "stream", "model", 2, DEADLINE_MS).account("account", "key");
        h.publish();
        h.server("model-a", "model", "a", "v2", InPlaceUpgrade::stream);
        Harness.Server last = h.server("model-b", "model", "b", "v1", InPlaceUpgrade::stream);
        List<Harness.Router> routers = List.of(h.router("router-1", "a"), h.router("router-2", "b"));
        for (Harness.Router router : routers) {
            router.start();
        }
        for (Harness.Router router : routers) {
            router.awaitReady();
        }
        Harness.sleep(3_000);
        AtomicInteger mixed = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String id = "stream-" + i;
            Harness.Router router = routers.get(i % routers.size());
            clients.add(Harness.start(() -> receive(h, router, id, mixed, whole)));
            Harness.sleep(30);
        }
        Harness.sleep(1_500);
        if (Harness.TROUBLE) {
            last.restart("v2", DOWN_MS, REGISTER_MS);
        }
        for (Thread client : clients) {
            client.join(30_000);
        }
        boolean broken = mixed.get() > ALLOWED;
        boolean sound = Harness.TROUBLE || whole.get() == STREAMS;
        h.end(
                broken ? 1 : sound ? 0 : 2,
                mixed + " of " + STREAMS + " streams hold events of two software versions; " + whole + " are whole");
    }

    /** Streams events that name the version of the server; goes on after Last-Event-Id. */
    private static boolean stream(Harness.Request request, java.io.OutputStream out) throws IOException {
        String version = request.server().version();
        String after = request.header("Last-Event-Id");
        int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
        request.record("runs " + request.id() + " from event " + first);
        out.write(ascii(request.answerHead("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")));
        for (int i = first; i <= EVENTS; i++) {
            String event = "id: " + i + "\ndata: " + version + "-" + i + "\n\n";
            out.write(ascii(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
            out.flush();
            Harness.sleep(EVENT_GAP_MS);
        }
        out.write(ascii("0\r\n\r\n"));
        out.flush();
        return true;
    }

    /** Sends a request, and takes its stream up once more if it breaks. */
    private static void receive(
            Harness h, Harness.Router router, String id, AtomicInteger mixed, AtomicInteger whole) {
        Set<String> versions = new TreeSet<>();
        int last = 0;
        for (int attempt = 1; attempt <= 3 && last < EVENTS; attempt++) {
            String attemptId = attempt == 1 ? id : id + "-" + attempt;
            String resume = last == 0 ? "" : "Last-Event-Id: " + last + "\r\nResumes: " + id + "\r\n";
            try (Socket socket = new Socket("127.0.0.1", router.port)) {
                socket.setSoTimeout(5_000);
                socket.getOutputStream()
                        .write(ascii(Harness.requestHead("POST", "/chat/x", attemptId, DEADLINE_MS, 0, resume)));
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                String line = in.readLine();
                h.record(attemptId + " got " + line + (last == 0 ? "" : " when resuming after event " + last));
                while (line != null && last < EVENTS) {
                    if (line.startsWith("id: ")) {
                        last = Integer.parseInt(line.substring(4));
                    } else if (line.startsWith("data: ")) {
                        versions.add(line.substring(6, 8));
                    }
                    line = in.readLine();
                }
            } catch (IOException e) {
                h.record(attemptId + ": " + e);
            }
            h.record(attemptId + " ended, the client has events up to " + last + " of versions " + versions);
            Harness.sleep(RETRY_DELAY_MS);
        }
        mixed.addAndGet(versions.size() > 1 ? 1 : 0);
        whole.addAndGet(last == EVENTS ? 1 : 0);
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
