import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;

/**
 * A caller hides a request in the body of another one, whose Transfer-Encoding does not end with chunked. Only the outer one may
 * run, or none.
 */
final class SmuggledRequest {
    /** Codings after which a recipient cannot tell where the body ends. */
    private static final List<String> CODINGS = List.of("xchunked", "gzip", "chunked, gzip", "chunked;q=1");

    private SmuggledRequest() {}

    public static void main(String[] arguments) throws IOException {
        Deployment.main(arguments, SmuggledRequest::run);
    }

    private static int run(Deployment deployment) throws Exception {
        StandinServer plain = new StandinServer("app-a", StandinServer.plainAnswer("done"));
        OperatorConfigBuilder config = new OperatorConfigBuilder()
                .service("app", false)
                .route("/book/", "non_idempotent", "app", 1, 3_000)
                .account("account", "key");
        deployment.store.put("servers/app-a", OperatorConfigBuilder.serverEntry("app", plain.port(), "a", "ready", 0));
        deployment.store.put("op/config", config.nextVersion());
        Deployment.Router router = deployment.startRouter("router-0", "a");
        for (int i = 0; i < CODINGS.size(); i++) {
            send(deployment, router, i);
        }
        Deployment.sleep(500);
        Set<String> run =
                plain.executedRequests().stream().map(StandinServer.Request::id).collect(Collectors.toSet());
        plain.executedRequests().forEach(request -> deployment.log("run: " + request.path() + " " + request.id()));
        return run.stream().anyMatch(id -> id.startsWith("inner-")) ? Deployment.BROKEN : Deployment.HELD;
    }

    private static void send(Deployment deployment, Deployment.Router router, int number) {
        String body = "0\r\n\r\nPOST /book/inner HTTP/1.1\r\nHost: " + OperatorConfigBuilder.HOST + "\r\nAttempt-Id: inner-"
                + number + "\r\nX-Api-Key: key\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
        String framing = Deployment.trouble()
                ? "Transfer-Encoding: " + CODINGS.get(number)
                : "Content-Length: " + body.length();
        deployment.log("sent: POST /book/outer outer-" + number + " with " + framing + ", and a request as its body");
        try (StandinCaller caller = new StandinCaller(router.port(), 1_000)) {
            caller.send("POST /book/outer HTTP/1.1\r\nHost: " + OperatorConfigBuilder.HOST + "\r\nAttempt-Id: outer-"
                    + number + "\r\nX-Api-Key: key\r\nDeadline-Ms: 2000\r\n" + framing + "\r\n\r\n" + body);
            deployment.log("answered: " + caller.readAnswer().status());
            deployment.log("answered after that: " + caller.readAnswer().status());
        } catch (IOException e) {
            deployment.log("no further answer: " + e.getMessage());
        }
    }
}
