import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinStore;

/**
 * A small deployment on loopback addresses: the project's stand-in store, servers of this file, and routers started with
 * the command of deploy/system.toml. Writes record.txt and ends every process that it started.
 */
final class Harness implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final String HOST = OperatorConfigBuilder.HOST;
    private static final long START_NANOS = System.nanoTime();
    private static final long LONGEST_RUN_MS = 110_000;

    final StandinStore store = new StandinStore();
    final OperatorConfigBuilder config = new OperatorConfigBuilder();
    final Path folder;
    private final Path work;
    private final PrintWriter record;
    private final List<Router> routers = new CopyOnWriteArrayList<>();
    private final List<Server> servers = new CopyOnWriteArrayList<>();

    Harness(String caseFolder) throws IOException {
        folder = Path.of(caseFolder);
        work = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        record("TROUBLE=" + (TROUBLE ? 1 : 0));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> routers.forEach(Router::kill)));
        start(() -> {
            sleep(LONGEST_RUN_MS);
            end(2, "the case did not end in time");
        });
    }

    static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NANOS);
    }

    /** Adds a line with the time in milliseconds since the start. */
    synchronized void record(String line) {
        record.printf("%8d %s%n", now(), line);
        if ("1".equals(System.getenv("SHOW"))) {
            System.out.printf("%8d %s%n", now(), line);
        }
    }

    void publish() {
        store.put("op/config", config.nextVersion());
    }

    Server server(String id, String service, String zone, Behaviour behaviour) throws IOException {
        return server(id, service, zone, "v1", behaviour);
    }

    Server server(String id, String service, String zone, String version, Behaviour behaviour) throws IOException {
        Server server = new Server(this, id, service, zone, version, behaviour);
        servers.add(server);
        return server;
    }

    Router router(String name, String zone) throws IOException {
        Router router = new Router(this, name, zone);
        routers.add(router);
        return router;
    }

    Path work() {
        return work;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static boolean await(long millis, BooleanSupplier condition) {
        long end = now() + millis;
        while (!condition.getAsBoolean()) {
            if (now() > end) {
                return false;
            }
            sleep(2);
        }
        return true;
    }

    static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    public void close() {
        routers.forEach(Router::kill);
        servers.forEach(Server::close);
        store.close();
        record.close();
        deleteWork();
    }

    private void deleteWork() {
        try (java.util.stream.Stream<Path> files = Files.list(work)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(work);
        } catch (IOException e) {
            System.err.println("cannot delete " + work + ": " + e);
        }
    }

    /** Ends the program with the exit code of a case. */
    void end(int code, String verdict) {
        record(verdict);
        System.out.println(verdict);
        close();
        System.exit(code);
    }

    /** A router process, started as on the platform. */
    static final class Router {
        final String name;
        final int port = freePort();
        final int readyPort = freePort();
        private final Harness harness;
        private final Path settings;
        private final List<String> command;
        private final AtomicInteger starts = new AtomicInteger();
        private volatile Process process;

        Router(Harness harness, String name, String zone) throws IOException {
            this.harness = harness;
            this.name = name;
            this.command = command();
            this.settings = harness.work.resolve(name + ".ini");
            writeSettings(zone);
        }

        /** Writes what the template platform/settings.ini yields for this router. */
        private void writeSettings(String zone) throws IOException {
            Files.writeString(
                    settings,
                    String.join(
                            "\n",
                            "[instance]",
                            "name = " + name,
                            "domain = " + zone,
                            "[listen]",
                            "callers = 127.0.0.1:" + port,
                            "readiness = 127.0.0.1:" + readyPort,
                            "metrics-port = " + freePort(),
                            "peers = 127.0.0.1:" + freePort(),
                            "[store]",
                            "address = 127.0.0.1:" + harness.store.port(),
                            "[bounds]",
                            "revoke = 5000ms",
                            "leave = 2000ms",
                            "publish = 2000ms",
                            "retry-ratio = 0.2",
                            "retry-slack = 52",
                            "retry-window = 10s",
                            "cold-overage = 1.5",
                            "cold-slack = 5",
                            "load-factor = 2",
                            "grace = 8s",
                            ""));
        }

        /** Rewrites the settings file with the same content, as the platform does before SIGHUP. */
        void touchSettings() throws IOException {
            Path next = settings.resolveSibling(name + ".next");
            Files.writeString(next, Files.readString(settings));
            Files.move(next, settings, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        private static List<String> command() throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = ")) {
                    return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
                }
            }
            throw new IOException("deploy/system.toml names no command");
        }

        void start() throws IOException {
            int number = starts.incrementAndGet();
            ProcessBuilder builder = new ProcessBuilder(command)
                    .redirectOutput(harness.work.resolve(name + "." + number + ".log").toFile())
                    .redirectErrorStream(true);
            builder.environment().put("CUMINSPUR_SETTINGS", settings.toString());
            process = builder.start();
            harness.record(name + " started, pid " + process.pid());
        }

        Path log() {
            return harness.work.resolve(name + "." + starts.get() + ".log");
        }

        boolean ready() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", readyPort), 500);
                socket.setSoTimeout(500);
                socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: r\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                byte[] head = socket.getInputStream().readNBytes(12);
                return new String(head, StandardCharsets.US_ASCII).endsWith(" 200");
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() throws IOException {
            if (!Harness.await(20_000, this::ready)) {
                throw new IOException(name + " does not become ready");
            }
            harness.record(name + " is ready");
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        Process process() {
            return process;
        }

        void signal(String signal) throws IOException {
            harness.record("SIG" + signal + " to " + name);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void kill() {
            if (alive()) {
                process.destroyForcibly();
            }
        }
    }

    /** Answers one request; returns whether the connection stays open. */
    interface Behaviour {
        boolean answer(Request request, OutputStream out) throws IOException;
    }

    /** A request as a server received it. */
    record Request(Server server, Socket socket, String head, int bodyBytes) {
        String header(String name) {
            String wanted = name.toLowerCase() + ":";
            return head.lines()
                    .filter(line -> line.toLowerCase().startsWith(wanted))
                    .map(line -> line.substring(wanted.length()).strip())
                    .findFirst()
                    .orElse("");
        }

        String id() {
            return header("Attempt-Id");
        }

        /** Records what the server does with this request. */
        void record(String text) {
            server.harness.record(server.id + " (" + server.version + ") " + text);
        }

        /** Returns the head of a signed answer. */
        String answerHead(String headers) {
            return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id() + "\r\nResponse-Signature: signed\r\n" + headers + "\r\n";
        }
    }

    /** A server of the platform; answers 421 to a request for another one. */
    static final class Server {
        final String id;
        final Map<String, Integer> runs = new ConcurrentHashMap<>();
        private final Harness harness;
        private final String service;
        private final String zone;
        private final java.util.Set<Socket> open = ConcurrentHashMap.newKeySet();
        private final AtomicBoolean down = new AtomicBoolean();
        private volatile ServerSocket socket;
        private volatile String version;
        volatile Behaviour behaviour;

        Server(Harness harness, String id, String service, String zone, String version, Behaviour behaviour)
                throws IOException {
            this.harness = harness;
            this.version = version;
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.behaviour = behaviour;
            socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            listen(socket);
            register();
        }

        int port() {
            return socket.getLocalPort();
        }

        String version() {
            return version;
        }

        /** Writes the entry in the store, as a server does at its start. */
        private void register() {
            harness.store.put(
                    "servers/" + id,
                    OperatorConfigBuilder.serverEntry(service, version, port(), zone, "ready", 0)
                            .replace("\"born\":1", "\"born\":" + System.currentTimeMillis()));
        }

        /**
         * Ends as a killed process does, and starts again under the same id at the same address.
         *
         * @param registerMillis time until it writes its entry once it listens
         */
        void restart(String nextVersion, long downMillis, long registerMillis) throws IOException {
            int port = port();
            harness.record(id + " (" + version + ") ends");
            socket.close();
            for (Socket each : List.copyOf(open)) {
                each.close();
            }
            Harness.sleep(downMillis);
            version = nextVersion;
            ServerSocket next = new ServerSocket();
            next.setReuseAddress(true);
            next.bind(new InetSocketAddress("127.0.0.1", port), 200);
            socket = next;
            listen(next);
            harness.record(id + " is back with " + version);
            Harness.sleep(registerMillis);
            register();
            harness.record(id + " has written its entry");
        }

        /** Crashes, unless it is down already, and is back after a time; returns whether it crashed. */
        boolean crash(long downMillis) {
            if (!down.compareAndSet(false, true)) {
                return false;
            }
            Harness.start(() -> {
                try {
                    restart(version, downMillis, 0);
                } catch (IOException e) {
                    harness.record(id + " does not come back: " + e);
                }
                down.set(false);
            });
            return true;
        }

        private void listen(ServerSocket on) {
            Harness.start(() -> {
                while (!on.isClosed()) {
                    try {
                        Socket accepted = on.accept();
                        accepted.setTcpNoDelay(true);
                        open.add(accepted);
                        Harness.start(() -> serve(accepted));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket accepted) {
            try (accepted) {
                InputStream in = new BufferedInputStream(accepted.getInputStream());
                String head = readHead(in);
                while (!head.isEmpty()) {
                    Request bare = new Request(this, accepted, head, 0);
                    String length = bare.header("Content-Length");
                    int bytes = length.isEmpty() ? 0 : Integer.parseInt(length);
                    in.skipNBytes(bytes);
                    Request request = new Request(this, accepted, head, bytes);
                    String target = request.header("Target-Instance");
                    if (!target.isEmpty() && !target.equals(id)) {
                        accepted.getOutputStream().write(("HTTP/1.1 421 Misdirected\r\nAttempt-Id: " + request.id()
                                + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                    } else {
                        runs.merge(request.id(), 1, Integer::sum);
                        if (!behaviour.answer(request, accepted.getOutputStream())) {
                            return;
                        }
                    }
                    head = readHead(in);
                }
            } catch (IOException e) {
                harness.record(id + ": connection ended: " + e.getMessage());
            } finally {
                open.remove(accepted);
            }
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                harness.record(id + ": " + e);
            }
        }
    }

    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            head.append((char) next);
            int n = head.length();
            if (next == '\n' && n > 3 && head.charAt(n - 3) == '\n') {
                return head.toString();
            }
        }
        return "";
    }

    /** Returns a request's head. */
    static String requestHead(String method, String path, String id, long deadlineMillis, int bodyBytes, String headers) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + id
                + "\r\nX-Api-Key: key\r\nDeadline-Ms: " + deadlineMillis + "\r\nContent-Length: " + bodyBytes + "\r\n"
                + headers + "\r\n";
    }

}
