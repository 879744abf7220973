import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A server starts again under its id, with another software version, after the clock of its machine was set back, so that its
 * start is stated as earlier than the one before. When another server ends later, the streams that it began must go on at
 * their version or not at all.
 */
final class ClockSetBack {
    private static final int ROUTERS = 2;
    private static final int STREAMS = 120;

    /** How far the clock is set back, and the time from the server's first start to its end. */
    private static final long CLOCK_STEP_MS = 2_400;

    private static final long FIRST_RUN_MS = 1_800;
    private static final long RESTART_MS = 500;

    /** Time for all routers to learn of the second start; far above every bound. */
    private static final long SETTLE_MS = 12_000;

    private static final long BEFORE_END_MS = 5_000;
    private static final long OLDER_MS = 60_000;

    private ClockSetBack() {}

    public static void main(String[] arguments) throws IOException {
        Deployment.main(arguments, ClockSetBack::run);
    }

    private static int run(Deployment deployment) throws Exception {
        deployment.store.put("op/config", StreamTraffic.config());
        RestartableServer old = StreamTraffic.server(deployment, "model-0");
        RestartableServer upgraded = StreamTraffic.server(deployment, "model-1");
        old.start("v1");
        StreamTraffic.register(deployment, old, "model-0", "v1", System.currentTimeMillis() - OLDER_MS);
        List<Deployment.Router> routers = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(deployment.startRouter("router-" + i, "a"));
        }
        upgraded.start("v1");
        StreamTraffic.register(deployment, upgraded, "model-1", "v1", System.currentTimeMillis());
        Deployment.sleep(FIRST_RUN_MS);
        upgraded.stop();
        Deployment.sleep(RESTART_MS);
        upgraded.start("v2");
        long step = Deployment.trouble() ? CLOCK_STEP_MS : 0;
        StreamTraffic.register(deployment, upgraded, "model-1", "v2", System.currentTimeMillis() - step);
        Deployment.sleep(SETTLE_MS);

        StreamTraffic callers = new StreamTraffic(deployment, routers);
        Thread traffic = callers.send(STREAMS);
        Deployment.sleep(BEFORE_END_MS);
        old.stop();
        deployment.log("model-0 v1 has ended");
        Deployment.sleep(RESTART_MS);
        old.start("v2");
        StreamTraffic.register(deployment, old, "model-0", "v2", System.currentTimeMillis());
        traffic.join();
        return callers.verdict(STREAMS);
    }
}
