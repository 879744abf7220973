import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A router is stopped as planned while clients on slow links receive answers. */
final class SlowReader {
    private static final int CLIENTS = 6;
    private static final int DEADLINE_MS = 15_000;
    private static final int RECEIVE_BUFFER_BYTES = 16 * 1_024;

    /** Rate at which a client reads while its link is slow. */
    private static final int SLOW_BYTES_PER_SECOND = 20_000;

    /** How long the links stay slow after the requests were sent. */
    private static final long SLOW_MS = 6_000;

    /** Time between the requests and SIGTERM. */
    private static final long BEFORE_STOP_MS = 1_000;

    private static final int MIN_BYTES = 32 * 1_024;
    private static final int MAX_BYTES = 16 * 1_024 * 1_024;
    private static final int STEP_BYTES = 12 * 1_024;
    private static final long SETTLE_MS = 600;

    public static void main(String[] args) throws Exception {
        Harness h = new Harness(args[0]);
        try {
            run(h);
        } catch (IOException | RuntimeException e) {
            h.end(2, "the case could not run: " + e);
        }
    }

    private static void run(Harness h) throws Exception {
        h.config
                .service("app", false)
                .route("/look/", "idempotent", "app", 2, DEADLINE_MS)
                .account("account", "key");
        h.publish();
        h.server("app-a", "app", "a", SlowReader::answer);
        h.server("app-b", "app", "b", SlowReader::answer);
        Harness.Router router = h.router("router-1", "a");
        router.start();
        router.awaitReady();
        int size = largestAnswerTaken(h, router) - STEP_BYTES;
        AtomicInteger cut = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String id = "req-" + i;
            clients.add(Harness.start(() -> receive(h, router, id, size, cut)));
        }
        Harness.sleep(BEFORE_STOP_MS);
        if (Harness.TROUBLE) {
            router.signal("TERM");
            Harness.start(() -> {
                Harness.await(20_000, () -> !router.alive());
                h.record("router-1 has ended");
            });
        }
        for (Thread client : clients) {
            client.join(20_000);
        }
        h.end(cut.get() > 0 ? 1 : 0, cut + " of " + CLIENTS + " answers were cut");
    }

    /** Answers with as many bytes as the query names. */
    private static boolean answer(Harness.Request request, OutputStream out) throws IOException {
        String path = request.head().split(" ", 3)[1];
        int size = Integer.parseInt(path.substring(path.indexOf('=') + 1));
        request.record("runs " + request.id());
        out.write(request.answerHead("Content-Length: " + size + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.write(new byte[size]);
        out.flush();
        request.record("has sent the whole answer to " + request.id());
        return true;
    }

    /**
     * Returns the largest answer that the router takes whole from a server while its client reads nothing. It depends on
     * the socket buffers of the machine.
     */
    private static int largestAnswerTaken(Harness h, Harness.Router router) throws IOException {
        int taken = MIN_BYTES;
        int refused = MAX_BYTES;
        while (refused - taken > STEP_BYTES) {
            int size = (taken + refused) / 2;
            String id = "size-" + size;
            try (Socket socket = connect(router)) {
                send(socket, id, size);
                Harness.sleep(SETTLE_MS);
                String log = Files.readString(router.log());
                boolean ended = log.lines()
                        .anyMatch(line -> line.contains("\"event\":\"ended\"") && line.contains("\"" + id + "\""));
                taken = ended ? size : taken;
                refused = ended ? refused : size;
            }
        }
        h.record("the router takes an answer of " + taken + " bytes whole while its client reads nothing");
        return taken;
    }

    private static Socket connect(Harness.Router router) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(new InetSocketAddress("127.0.0.1", router.port));
        return socket;
    }

    private static void send(Socket socket, String id, int size) throws IOException {
        socket.getOutputStream()
                .write(Harness.requestHead("GET", "/look/x?size=" + size, id, DEADLINE_MS, 0, "")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static void receive(Harness h, Harness.Router router, String id, int size, AtomicInteger cut) {
        long received = 0;
        String status = "no answer";
        try (Socket socket = connect(router)) {
            long start = Harness.now();
            send(socket, id, size);
            h.record(id + " sent, for " + size + " bytes");
            InputStream in = socket.getInputStream();
            status = Harness.readHead(in).lines().findFirst().orElse(status);
            byte[] buffer = new byte[2_048];
            int count = in.read(buffer);
            while (count > 0 && received < size) {
                received += count;
                long paceMillis = Math.min(SLOW_MS, received * 1_000 / SLOW_BYTES_PER_SECOND);
                Harness.sleep(start + paceMillis - Harness.now());
                count = received < size ? in.read(buffer) : 0;
            }
        } catch (IOException e) {
            h.record(id + ": " + e);
        }
        h.record(id + " got " + status + " and " + received + " of " + size + " bytes");
        cut.addAndGet(received < size ? 1 : 0);
    }
}
