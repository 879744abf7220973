import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cuminspur.standin.FreePorts;

/**
 * A model server of some software version that sends a stream of events, and can start again at its address with another
 * version; thread-safe.
 */
final class RestartableServer {
    private static final int EVENTS = 40;
    private static final long INTERVAL_MS = 50;
    private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)");

    private final Deployment deployment;
    private final String id;
    private final int events;
    private final long intervalMillis;
    private final int port = FreePorts.next();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;

    RestartableServer(Deployment deployment, String id) {
        this(deployment, id, EVENTS, INTERVAL_MS);
    }

    /** Creates a server whose streams have a number of events, one each interval. */
    RestartableServer(Deployment deployment, String id, int events, long intervalMillis) {
        this.deployment = deployment;
        this.id = id;
        this.events = events;
        this.intervalMillis = intervalMillis;
    }

    int port() {
        return port;
    }

    /** Starts a process of a software version. */
    synchronized void start(String version) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 100);
        listener = socket;
        Deployment.start(() -> accept(socket, version));
    }

    /** Ends the process: its port and all its connections are closed. */
    synchronized void stop() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
        sockets.clear();
    }

    private void accept(ServerSocket socket, String version) {
        while (!socket.isClosed()) {
            try {
                Socket accepted = socket.accept();
                sockets.add(accepted);
                Deployment.start(() -> serve(accepted, version));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket, String version) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String head = readRequest(in); !head.isEmpty(); head = readRequest(in)) {
                answer(socket, head, version);
            }
        } catch (IOException e) {
            deployment.note(id + ": a connection ended: " + e.getMessage());
        } finally {
            sockets.remove(socket);
        }
    }

    private void answer(Socket socket, String head, String version) throws IOException {
        String target = header(head, "Target-Instance");
        String ids = "Attempt-Id: " + header(head, "Attempt-Id") + "\r\nResponse-Signature: signed\r\n";
        if (!target.isEmpty() && !target.equals(id)) {
            send(socket, "HTTP/1.1 421 Misdirected Request\r\n" + ids + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        String after = header(head, "Last-Event-Id");
        int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
        deployment.note(id + " " + version + " runs " + header(head, "Attempt-Id") + " from event " + first);
        send(
                socket,
                "HTTP/1.1 200 OK\r\n" + ids
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = first; event <= events; event++) {
            String text = "id: " + event + "\ndata: " + version + "\n\n";
            send(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            Deployment.sleep(intervalMillis);
        }
        send(socket, "0\r\n\r\n");
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String header(String head, String name) {
        return head.lines()
                .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(line -> line.substring(name.length() + 1).strip())
                .findFirst()
                .orElse("");
    }

    /** Reads a request with its body; returns its head, empty at the end of the connection. */
    private static String readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        Matcher length = LENGTH.matcher(head);
        in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
        return head.toString();
    }
}
