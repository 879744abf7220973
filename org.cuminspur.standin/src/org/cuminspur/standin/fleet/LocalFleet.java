package org.cuminspur.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.client.HttpHeader;
import org.cuminspur.http.client.HttpResponse;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.standin.platform.InstanceTable;
import org.cuminspur.time.Clock;

/**
 * A fleet of processes on this machine: platform, upstreams and routers.
 *
 * <p>Not thread-safe. The operating system assigns all ports; {@link #close} ends every process started.
 */
public final class LocalFleet implements AutoCloseable {
    /** The operators' key of every router. */
    public static final String OPERATOR_KEY = "operators-key-of-the-demo";

    /** Age of listed instances, so that routers do not treat them as cold. */
    private static final long LISTED_AGE_MS = 3_600_000;

    private static final String HOST = "127.0.0.1";
    private static final String PEER_KEY = "peers-key-of-the-demo";
    private static final long CALL_TIMEOUT_MS = 10_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient http = new HttpClient(Clock.system(), 1, CALL_TIMEOUT_MS);
    private final Map<String, ChildProcess> processes = new LinkedHashMap<>();
    private final Map<String, ListedInstance> instances = new LinkedHashMap<>();
    private final Path directory;
    private final int platformPort;

    public LocalFleet() {
        try {
            directory = Files.createTempDirectory("cuminspur-fleet");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        platformPort = startProcess("platform", "org.cuminspur.standin.Main", "platform")
                .ports()
                .get("port");
    }

    /** Starts an upstream process and adds it to the instance list. */
    public ListedInstance startUpstream(String kind, String name, String service, String domain, String... options) {
        List<String> arguments = new ArrayList<>(List.of(kind, "--name", name));
        arguments.addAll(List.of(options));
        ChildProcess process = startProcess(name, "org.cuminspur.standin.Main", arguments.toArray(String[]::new));
        return listInstance(
                name,
                service,
                domain,
                Map.of(ListedInstance.HTTP_PORT, process.ports().get("port")));
    }

    /** Lists an upstream that already listens on this machine. */
    public ListedInstance listUpstream(String name, String service, String domain, int port) {
        return listInstance(name, service, domain, Map.of(ListedInstance.HTTP_PORT, port));
    }

    /** Starts and lists several upstreams of a service in one process, spread over failure domains. */
    public List<ListedInstance> startUpstreams(String kind, String service, int count, List<String> domains) {
        Map<String, Integer> ports = startProcess(
                        service,
                        "org.cuminspur.standin.Main",
                        kind,
                        "--name",
                        service,
                        "--count",
                        Integer.toString(count))
                .ports();
        List<ListedInstance> listed = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int port = ports.get(i == 0 ? "port" : "port-" + i);
            String domain = domains.get(i % domains.size());
            listed.add(listInstance(service + "-" + (i + 1), service, domain, Map.of(ListedInstance.HTTP_PORT, port)));
        }
        return listed;
    }

    /** Starts and lists a router; {@code settings} are lines added to its settings file. */
    public ListedInstance startRouter(String name, String domain, String... settings) {
        ChildProcess process = startProcess(
                name,
                "org.cuminspur.router.Main",
                "--settings",
                write(name + ".ini", routerSettings(name, domain) + String.join("\n", settings))
                        .toString());
        Map<String, Integer> ports = process.ports();
        return listInstance(
                name,
                ListedInstance.ROUTER_SERVICE,
                domain,
                Map.of(
                        ListedInstance.HTTP_PORT, ports.get("callers"),
                        ListedInstance.PEER_PORT, ports.get("peer"),
                        ListedInstance.OPERATOR_PORT, ports.get("operator")));
    }

    /** Updates an instance's entry in the platform's list to leaving or not. */
    public void setLeaving(String name, boolean leaving) {
        ListedInstance old = instances.get(name);
        putInstance(new ListedInstance(
                name, old.service(), old.host(), old.ports(), old.domain(), old.incarnation(), leaving));
    }

    public void removeFromList(String name) {
        instances.remove(name);
        call("DELETE", platformPort, "/instances/" + name, "");
    }

    public ChildProcess process(String name) {
        return processes.get(name);
    }

    /** Writes the operator's settings file for this fleet and returns its path. */
    public Path writeOperatorSettings() {
        return write(
                "operator.ini",
                "[operator]\nstore-port = " + platformPort + "\ninstances-port = " + platformPort + "\nkey = "
                        + OPERATOR_KEY + "\n");
    }

    /** Writes a service file and returns its folder. */
    public Path writeServiceFile(String name, String text) {
        return write("services/" + name + ".cuminspur.ini", text).getParent();
    }

    /** Publishes a service file with the operators' command, which waits until it is in force. */
    public void publish(String name, String text) {
        ChildProcess publish = ChildProcess.start(
                "publish",
                "org.cuminspur.pgm.Main",
                "publish",
                "--settings",
                writeOperatorSettings().toString(),
                writeServiceFile(name, text).toString());
        if (publish.awaitEnd() != 0) {
            throw new IllegalStateException(String.join("\n", publish.lines()));
        }
    }

    /** Posts fault settings to the platform or to an upstream. */
    public void setFaults(String name, String json) {
        int port = name.equals("platform") ? platformPort : instances.get(name).port(ListedInstance.HTTP_PORT);
        call("POST", port, "/faults", json);
    }

    /** Returns an instance's port for requests. */
    public int port(String name) {
        return instances.get(name).port(ListedInstance.HTTP_PORT);
    }

    public int platformPort() {
        return platformPort;
    }

    /** Calls a process on this machine and returns the complete answer. */
    public HttpResponse call(String method, int port, String path, String body, HttpHeader... headers) {
        HttpCall call =
                new HttpCall(method, HOST, port, path, List.of(headers), body.getBytes(StandardCharsets.UTF_8), false);
        return http.call(call, CALL_TIMEOUT_MS)
                .getOrElseThrow(fault -> new IllegalStateException(method + " " + path + ": " + fault));
    }

    /** Returns the HTTP client for calls to the fleet's processes. */
    public HttpClient http() {
        return http;
    }

    /** Returns a router's status report. */
    public JsonNode status(ListedInstance router) {
        HttpResponse answer = call(
                "GET",
                router.port(ListedInstance.OPERATOR_PORT),
                "/status",
                "",
                new HttpHeader("Authorization", "Bearer " + OPERATOR_KEY));
        try {
            return JSON.readTree(answer.body());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        processes.values().forEach(ChildProcess::close);
        http.close();
        removeFiles();
    }

    private void removeFiles() {
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private ChildProcess startProcess(String name, String mainClass, String... arguments) {
        ChildProcess process = ChildProcess.start(name, mainClass, arguments);
        processes.put(name, process);
        return process;
    }

    private ListedInstance listInstance(String name, String service, String domain, Map<String, Integer> ports) {
        String incarnation = Long.toString(Clock.system().millis() - LISTED_AGE_MS);
        ListedInstance instance =
                new ListedInstance(name, service, HOST, ports, new FailureDomainId(domain), incarnation, false);
        putInstance(instance);
        return instance;
    }

    private void putInstance(ListedInstance instance) {
        instances.put(instance.name(), instance);
        call(
                "PUT",
                platformPort,
                "/instances/" + instance.name(),
                InstanceTable.endpointSlice(instance).toString());
    }

    private String routerSettings(String name, String domain) {
        return String.join(
                "\n",
                "[router]",
                "name = " + name,
                "domain = " + domain,
                "[operators]",
                "key = " + OPERATOR_KEY,
                "[peers]",
                "key = " + PEER_KEY,
                "[platform]",
                "store-port = " + platformPort,
                "instances-port = " + platformPort,
                "");
    }

    private Path write(String name, String text) {
        try {
            Path file = directory.resolve(name);
            Files.createDirectories(file.getParent());
            return Files.writeString(file, text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
