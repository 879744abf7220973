package org.cuminspur.standin.users;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Builds the operators' configuration and the server entries in the deployment platform's format.
 *
 * <p>Not thread-safe; each call of {@link #nextVersion} increases the version.
 */
public final class OperatorConfigBuilder {
    /** Host of all routes. */
    public static final String HOST = "users.example";

    private static final ObjectMapper JSON = new ObjectMapper();

    private final ObjectNode root = JSON.createObjectNode();
    private final ArrayNode routes = root.putArray("routes");
    private final ArrayNode services = root.putArray("services");
    private final ArrayNode tenants = root.putArray("tenants");
    private long version;

    public OperatorConfigBuilder() {
        root.putObject("limits")
                .put("max_header_bytes", 16_384)
                .put("max_body_bytes", 4_194_304)
                .put("header_timeout_ms", 3_000)
                .put("idle_timeout_ms", 15_000);
    }

    /** Sets how long callers may read nothing, or leave their connections idle. */
    public OperatorConfigBuilder idleTimeout(long millis) {
        root.withObject("/limits").put("idle_timeout_ms", millis);
        return this;
    }

    /** Sets how large the body of a request may be. */
    public OperatorConfigBuilder maxBody(int bytes) {
        root.withObject("/limits").put("max_body_bytes", bytes);
        return this;
    }

    /** Adds a service; one that warms up is limited to 14 requests a second for 3 s after a start. */
    public OperatorConfigBuilder service(String name, boolean warmsUp) {
        services.addObject()
                .put("name", name)
                .put("health_path", "/health")
                .put("max_connections", 360)
                .put("protocol", "h1")
                .put("warmup_s", warmsUp ? 3.0 : 0.0)
                .put("warmup_per_s", warmsUp ? 14.0 : 0.0);
        return this;
    }

    /** Adds a route of {@link #HOST}; {@code kind} is idempotent, non_idempotent or stream. */
    public OperatorConfigBuilder route(String prefix, String kind, String service, int attempts, long timeoutMillis) {
        routes.addObject()
                .put("name", "route" + prefix.replace('/', '-'))
                .put("host", HOST)
                .put("prefix", prefix)
                .put("kind", kind)
                .put("service", service)
                .put("timeout_ms", timeoutMillis)
                .put("target_latency_ms", 200)
                .put("priority", 1)
                .put("max_attempts", attempts)
                .put("auth_exempt", false)
                .put("sticky_sessions", kind.equals("stream"))
                .put("stream_resume", kind.equals("stream") && attempts > 1);
        return this;
    }

    /** Replaces the API keys of a client account. */
    public OperatorConfigBuilder account(String name, String... keys) {
        for (int i = tenants.size() - 1; i >= 0; i--) {
            if (tenants.get(i).path("name").asText().equals(name)) {
                tenants.remove(i);
            }
        }
        ArrayNode apiKeys = tenants.addObject().put("name", name).putArray("api_keys");
        for (String key : keys) {
            apiKeys.add(key);
        }
        return this;
    }

    /** Returns the configuration as its next version. */
    public String nextVersion() {
        version += 2;
        return root.put("version", version).toString();
    }

    /** Returns the entry of a server of software version v1. */
    public static String serverEntry(String service, int port, String zone, String state, long warmupLeftMillis) {
        return serverEntry(service, "v1", port, zone, state, warmupLeftMillis);
    }

    /** Returns a server's entry. */
    public static String serverEntry(
            String service, String version, int port, String zone, String state, long warmupLeftMillis) {
        return JSON.createObjectNode()
                .put("service", service)
                .put("address", "127.0.0.1:" + port)
                .put("zone", zone)
                .put("version", version)
                .put("slots", 8)
                .put("state", state)
                .put("warmup_left_ms", warmupLeftMillis)
                .put("seq", 1)
                .put("born", 1)
                .toString();
    }
}
