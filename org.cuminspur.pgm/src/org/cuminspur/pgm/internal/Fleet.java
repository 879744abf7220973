package org.cuminspur.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.control.Target;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.client.HttpHeader;
import org.cuminspur.http.client.HttpResponse;
import org.cuminspur.http.platform.EtcdStore;
import org.cuminspur.http.platform.InstanceListReader;
import org.cuminspur.publish.Backoff;
import org.cuminspur.slo.BurnReport;
import org.cuminspur.slo.BurnReportCodec;
import org.cuminspur.store.Store;
import org.cuminspur.time.Clock;

/** The platform and the routers as an operator's command meets them; used by one thread. */
public final class Fleet implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long POLL_INTERVAL_MS = 100;

    /** How many instances a wait has come to; immutable. */
    public record Reached(int instances, int listed) {
        /** Returns whether all listed instances are reached, and there is one. */
        public boolean all() {
            return instances == listed && listed > 0;
        }
    }

    private final OperatorSettings settings;
    private final Clock clock = Clock.system();
    private final HttpClient http;
    private final EtcdStore store;
    private final InstanceListReader instances;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    public Fleet(OperatorSettings settings) {
        this.settings = settings;
        http = new HttpClient(clock, 1, settings.timeoutMillis());
        store = new EtcdStore(http, settings.store(), settings.timeoutMillis());
        instances = new InstanceListReader(http, settings.instances(), settings.timeoutMillis());
    }

    /** Returns the platform's store. */
    public Store store() {
        return store;
    }

    /** Returns how a publication spaces its tries. */
    public Backoff backoff(long timeoutMillis) {
        return new Backoff(
                clock,
                (delay, action) -> timer.schedule(action, delay, TimeUnit.MILLISECONDS),
                new SecureRandom(),
                timeoutMillis);
    }

    /** Returns the routers in the platform's list by name, none if the platform does not answer. */
    public Option<List<ListedInstance>> routers() {
        return instances
                .read()
                .map(all -> all.stream()
                        .filter(instance ->
                                instance.service().equals(ListedInstance.ROUTER_SERVICE) && !instance.leaving())
                        .sorted(Comparator.comparing(ListedInstance::name))
                        .toList());
    }

    /** Returns what each router says of itself. */
    public List<RouterStatus> statuses(List<ListedInstance> routers) {
        return routers.parallelStream()
                .map(router -> new RouterStatus(router, get(router, "/status")))
                .toList();
    }

    /** Returns the burn reports of the routers that answered. */
    public List<BurnReport> burnReports(List<ListedInstance> routers) {
        return routers.parallelStream()
                .map(router -> get(router, "/slo").flatMap(BurnReportCodec::decode))
                .flatMap(Option::toJavaStream)
                .toList();
    }

    /** Gives an order to a router; returns its generation there, none if it was not accepted. */
    public Option<Long> order(ListedInstance router, Target target, boolean out, String by) {
        String path =
                "/orders?target=" + encode(target.label()) + "&state=" + (out ? "out" : "in") + "&by=" + encode(by);
        return call(router, "POST", path)
                .filter(HttpResponse::succeeded)
                .flatMap(answer -> Try.of(() -> JSON.readTree(answer.body())).toOption())
                .map(node -> node.path("generation").asLong());
    }

    /** Waits until every listed router is as wanted, or time runs out. */
    public Reached await(Predicate<RouterStatus> wanted, long timeoutMillis) {
        long deadline = clock.millis() + timeoutMillis;
        while (true) {
            List<RouterStatus> statuses = routers().map(this::statuses).getOrElse(List.of());
            Reached reached = new Reached((int) statuses.stream().filter(wanted).count(), statuses.size());
            if (reached.all() || clock.millis() >= deadline) {
                return reached;
            }
            pause();
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
        store.close();
        http.close();
    }

    private Option<JsonNode> get(ListedInstance router, String path) {
        return call(router, "GET", path)
                .filter(HttpResponse::succeeded)
                .flatMap(answer -> Try.of(() -> JSON.readTree(answer.body())).toOption());
    }

    private Option<HttpResponse> call(ListedInstance router, String method, String path) {
        HttpCall call = new HttpCall(
                method,
                router.host(),
                router.port(ListedInstance.OPERATOR_PORT),
                path,
                List.of(new HttpHeader("Authorization", "Bearer " + settings.key())),
                new byte[0],
                false);
        return http.call(call, settings.timeoutMillis()).toOption();
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
