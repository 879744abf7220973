import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A part of prompts that servers answered until now crashes each server that begins to write an answer on it. */
final class CrashingPart {
    private static final int SERVERS = 6;
    private static final int DEADLINE_MS = 12_000;
    private static final String PART = "bad0bad0";
    private static final long SOUND_MS = 5_000;
    private static final long CRASHING_MS = 25_000;
    private static final long REQUEST_INTERVAL_MS = 200;

    /** A crashed server is back after this time. */
    private static final long DOWN_MS = 3_000;

    private static final long CONTACT_MS = 3_000;
    private static final int ALLOWED = 3;
    private static final int CRASHES = 5;

    private static final List<Long> CRASHED_MILLIS = new CopyOnWriteArrayList<>();
    private static final List<Long> REACHED_MILLIS = new CopyOnWriteArrayList<>();
    private static volatile boolean crashing;

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
        for (int i = 0; i < SERVERS; i++) {
            h.server("model-" + i, "model", i % 2 == 0 ? "a" : "b", CrashingPart::stream);
        }
        List<Harness.Router> routers = List.of(h.router("router-1", "a"), h.router("router-2", "b"));
        for (Harness.Router router : routers) {
            router.start();
        }
        for (Harness.Router router : routers) {
            router.awaitReady();
        }
        Harness.sleep(3_000);
        List<Thread> clients = new ArrayList<>();
        long begin = Harness.now();
        for (int i = 0; Harness.now() < begin + SOUND_MS + CRASHING_MS; i++) {
            if (Harness.TROUBLE && !crashing && Harness.now() > begin + SOUND_MS) {
                h.record("from now on part " + PART + " crashes servers");
                crashing = true;
            }
            Harness.Router router = routers.get(i % routers.size());
            String with = "with-" + i;
            String without = "without-" + i;
            clients.add(Harness.start(() -> request(h, router, with, "a1:10," + PART + ":10")));
            clients.add(Harness.start(() -> request(h, router, without, "a1:10,c3:10")));
            Harness.sleep(REQUEST_INTERVAL_MS);
        }
        for (Thread client : clients) {
            client.join(20_000);
        }
        boolean enough = CRASHED_MILLIS.size() >= CRASHES;
        long from = enough ? CRASHED_MILLIS.get(CRASHES - 1) + CONTACT_MS : Long.MAX_VALUE;
        long after = REACHED_MILLIS.stream().filter(at -> at > from).count();
        h.end(
                after > ALLOWED ? 1 : 0,
                CRASHED_MILLIS.size() + " crashes; " + after + " requests with the part reached servers later than "
                        + CONTACT_MS + " ms after the fifth");
    }

    private static boolean stream(Harness.Request request, OutputStream out) throws IOException {
        if (crashing && request.header("Prompt-Prefix").contains(PART)) {
            REACHED_MILLIS.add(Harness.now());
            request.record("got " + request.id());
            if (request.server().crash(DOWN_MS)) {
                CRASHED_MILLIS.add(Harness.now());
            }
            return false;
        }
        String after = request.header("Last-Event-Id");
        out.write(ascii(request.answerHead("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")));
        for (int i = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; i <= 10; i++) {
            String event = "id: " + i + "\ndata: token-" + i + "\n\n";
            out.write(ascii(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
            out.flush();
            Harness.sleep(20);
        }
        out.write(ascii("0\r\n\r\n"));
        out.flush();
        return true;
    }

    private static void request(Harness h, Harness.Router router, String id, String sharedParts) {
        String parts = "Prompt-Prefix: " + sharedParts + "," + Integer.toHexString(id.hashCode()) + ":10\r\n"
                + "Token-Usage: 30,60\r\nModel: m\r\n";
        try (Socket socket = new Socket("127.0.0.1", router.port)) {
            socket.setSoTimeout(DEADLINE_MS + 1_000);
            socket.getOutputStream().write(ascii(Harness.requestHead("POST", "/chat/x", id, DEADLINE_MS, id.length(), parts) + id));
            InputStream in = socket.getInputStream();
            String status = Harness.readHead(in).lines().findFirst().orElse("no answer");
            boolean whole = false;
            String tail = "";
            byte[] buffer = new byte[1_024];
            for (int count = 0; !whole && count >= 0; count = whole ? 0 : in.read(buffer)) {
                tail += new String(buffer, 0, count, StandardCharsets.US_ASCII);
                whole = tail.endsWith("0\r\n\r\n") || !status.contains(" 200 ");
            }
            if (crashing || !whole) {
                h.record(id + " got " + status + (whole ? "" : ", cut"));
            }
        } catch (IOException e) {
            h.record(id + ": " + e);
        }
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
