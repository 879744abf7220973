import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cuminspur.standin.users.StandinStoreFaults;

/**
 * While the store is down, two model servers start again under their ids with another software version, one after the other.
 * Streams must go on at the version that began them.
 */
final class UnseenUpgrade {
    private static final int ROUTERS = 3;
    private static final int STREAMS = 270;

    /** Time for routers to settle before traffic starts, and of traffic before the store goes down. */
    private static final long SETTLE_MS = 4_000;

    private static final long BEFORE_OUTAGE_MS = 4_000;
    private static final long OUTAGE_MS = 4_500;
    private static final long OUTAGE_BEFORE_RESTART_MS = 500;

    /** Time from the end of the first server to its second start, and then to the end of the second one. */
    private static final long RESTART_MS = 500;

    private static final long BEFORE_NEXT_MS = 2_500;

    /** Time from the end of the second server to its second start, long after its streams were taken up. */
    private static final long LAST_RESTART_MS = 3_000;

    private static final long REGISTER_RETRY_MS = 50;

    private UnseenUpgrade() {}

    public static void main(String[] arguments) throws IOException {
        Deployment.main(arguments, UnseenUpgrade::run);
    }

    private static int run(Deployment deployment) throws Exception {
        deployment.store.put("op/config", StreamTraffic.config());
        RestartableServer first = start(deployment, "model-0");
        RestartableServer second = start(deployment, "model-1");
        List<Deployment.Router> routers = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(deployment.startRouter("router-" + i, "a"));
        }
        Deployment.sleep(SETTLE_MS);

        StreamTraffic callers = new StreamTraffic(deployment, routers);
        Thread traffic = callers.send(STREAMS);
        Deployment.sleep(BEFORE_OUTAGE_MS);
        if (Deployment.trouble()) {
            deployment.store.faults().mode(StandinStoreFaults.Mode.REFUSING);
            deployment.log("the store is down");
            Deployment.start(() -> {
                Deployment.sleep(OUTAGE_MS);
                deployment.store.faults().mode(StandinStoreFaults.Mode.UP);
                deployment.log("the store is back");
            });
        }
        Deployment.sleep(OUTAGE_BEFORE_RESTART_MS);
        replace(deployment, first, "model-0", RESTART_MS);
        Deployment.sleep(BEFORE_NEXT_MS);
        replace(deployment, second, "model-1", LAST_RESTART_MS);
        traffic.join();
        return callers.verdict(STREAMS);
    }

    private static RestartableServer start(Deployment deployment, String id) throws IOException {
        RestartableServer server = StreamTraffic.server(deployment, id);
        server.start("v1");
        StreamTraffic.register(deployment, server, id, "v1", System.currentTimeMillis());
        return server;
    }

    /** Ends a server and starts it again as the next version, which registers as soon as the store takes it. */
    private static void replace(
            Deployment deployment, RestartableServer server, String id, long restartMillis) throws IOException {
        server.stop();
        deployment.log(id + " v1 has ended");
        Deployment.sleep(restartMillis);
        long bornMillis = System.currentTimeMillis();
        server.start("v2");
        deployment.log(id + " v2 has started");
        Deployment.start(() -> {
            while (deployment.store.faults().mode() != StandinStoreFaults.Mode.UP) {
                Deployment.sleep(REGISTER_RETRY_MS);
            }
            StreamTraffic.register(deployment, server, id, "v2", bornMillis);
        });
    }
}
