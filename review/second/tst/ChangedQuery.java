import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;

/** Callers send requests whose queries begin with a question mark or are empty. They must reach a server as they were sent. */
final class ChangedQuery {
    private static final List<String> WITH_TROUBLE =
            List.of("/book/x??lot=7", "/book/x???lot=7", "/book/x??", "/book/x?");
    private static final List<String> WITHOUT_TROUBLE =
            List.of("/book/x?lot=7", "/book/x?lot=?7", "/book/x?lot=7?", "/book/x");

    private ChangedQuery() {}

    public static void main(String[] arguments) throws IOException {
        Deployment.main(arguments, ChangedQuery::run);
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
        List<String> targets = Deployment.trouble() ? WITH_TROUBLE : WITHOUT_TROUBLE;
        for (int i = 0; i < targets.size(); i++) {
            try (StandinCaller caller = new StandinCaller(router.port())) {
                caller.post(targets.get(i), "request-" + i, StandinCaller.deadlineHeader(3_000));
                int status = caller.readAnswer().status();
                deployment.log("sent: request-" + i + " POST " + targets.get(i) + ", answered: " + status);
            }
        }
        Map<String, String> run = plain.executedRequests().stream()
                .collect(Collectors.toMap(StandinServer.Request::id, StandinServer.Request::path));
        int changed = 0;
        for (int i = 0; i < targets.size(); i++) {
            String path = run.get("request-" + i);
            deployment.log("run: request-" + i + " " + path);
            changed += path != null && !path.equals(targets.get(i)) ? 1 : 0;
        }
        deployment.log("requests that ran with another query: " + changed);
        return changed > 0 ? Deployment.BROKEN : Deployment.HELD;
    }
}
