package org.cuminspur.router;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.http.client.HttpHeader;
import org.cuminspur.http.client.HttpResponse;
import org.cuminspur.pgm.ExitCode;
import org.cuminspur.pgm.Main;
import org.cuminspur.routing.RouteTable;
import org.cuminspur.standin.fleet.LocalFleet;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Publishes a configuration and serves requests through separate processes; its tests depend on each other's state. */
public class EndToEndTest {
    private static final String KEY = "buyer-desk-key";
    private static final String CHAT = "{\"model\":\"appraisal\",\"stream\":true,\"messages\":["
            + "{\"role\":\"system\",\"content\":\"appraise wool lots\"},"
            + "{\"role\":\"user\",\"content\":\"what is lot 12 worth\"}]}";

    private LocalFleet fleet;
    private ListedInstance first;
    private ListedInstance second;
    private Path services;

    @BeforeClass
    public void start() {
        fleet = new LocalFleet();
        fleet.startUpstream("engine", "engine-1", "appraisal", "noord-a");
        fleet.startUpstream("engine", "engine-2", "appraisal", "noord-b");
        fleet.startUpstream("service", "stock-1", "stock", "noord-a");
        first = fleet.startRouter("router-1", "noord-a");
        second = fleet.startRouter("router-2", "noord-b");
        services = fleet.writeServiceFile(
                "appraisal",
                String.join(
                        "\n",
                        "[service appraisal]",
                        "kind = engine",
                        "[service stock]",
                        "kind = plain",
                        "[route drafts]",
                        "service = appraisal",
                        "path = /v1/chat/completions",
                        "[route stock]",
                        "service = stock",
                        "path = /stock",
                        "[domain noord-a]",
                        "region = nl-noord",
                        "[domain noord-b]",
                        "region = nl-noord",
                        "[account buyer-desk]",
                        "key-sha256 = " + RouteTable.sha256(KEY)));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    @Test
    public void publishedFilesAreInForceOnAllRouters() {
        assertEquals(run("publish", services.toString()), "revision 1 is in force on 2 of 2 instances\n");
        fleet.process("router-1").awaitLine(line -> line.contains("event=revision-applied 1 "));
    }

    @Test(dependsOnMethods = "publishedFilesAreInForceOnAllRouters")
    public void streamedChatIsRelayedCompletelyByBothRouters() {
        HttpResponse one = chat(first);
        HttpResponse other = chat(second);
        assertEquals(one.status(), 200);
        assertTrue(one.text().endsWith("data: [DONE]\n\n"), one.text());
        assertTrue(one.text().contains("\"cached_tokens\":0"), one.text());
        assertTrue(other.text().matches("(?s).*\"cached_tokens\":[1-9].*"), other.text());
    }

    @Test(dependsOnMethods = "publishedFilesAreInForceOnAllRouters")
    public void plainServiceRequestIsRoutedByPath() {
        HttpResponse answer = request(first, "GET", "/stock/lot-12", "", KEY);
        assertEquals(answer.status(), 200);
        assertTrue(answer.text().contains("\"path\":\"/stock/lot-12\""), answer.text());
    }

    @Test(dependsOnMethods = "publishedFilesAreInForceOnAllRouters")
    public void unknownKeyAndUnknownPathAreRefused() {
        assertEquals(request(first, "GET", "/stock/lot-12", "", "guess").status(), 401);
        assertEquals(request(first, "GET", "/nowhere", "", KEY).status(), 404);
    }

    @Test(dependsOnMethods = {"streamedChatIsRelayedCompletelyByBothRouters", "plainServiceRequestIsRoutedByPath"})
    public void reportCoversTheRequestsOfAllInstances() throws IOException {
        Path page = Files.createTempFile("burn-report", ".html");
        String text = run("report", "--html", page.toString());
        assertTrue(text.startsWith("2 of 2 instances answered"), text);
        JsonNode json = new ObjectMapper().readTree(run("report", "--json"));
        JsonNode chats = json.at("/rows").path(0).path("service").asText().equals("appraisal")
                ? json.at("/rows/0/counts/6h")
                : json.at("/rows/1/counts/6h");
        assertEquals(chats.path("good").asInt() + chats.path("bad").asInt(), 2, json.toString());
        assertEquals(json.at("/percentiles/appraisal/first_token_ms/count").asInt(), 2);
        String html = Files.readString(page);
        assertTrue(html.contains("<svg") && html.contains("buyer-desk"), html);
        assertTrue(!html.contains("http://") && !html.contains("https://"), html);
    }

    @Test(dependsOnMethods = "reportCoversTheRequestsOfAllInstances")
    public void takenOutDomainIsOutOfServiceOnAllRoutersUntilBroughtBack() {
        assertEquals(run("take-out", "domain/noord-b"), "domain/noord-b is out of service on 2 of 2 instances\n");
        assertEquals(
                fleet.call("GET", second.port(ListedInstance.OPERATOR_PORT), "/ready", "")
                        .status(),
                503);
        assertEquals(run("bring-back", "domain/noord-b"), "domain/noord-b is in service on 2 of 2 instances\n");
    }

    @Test(dependsOnMethods = "takenOutDomainIsOutOfServiceOnAllRoutersUntilBroughtBack")
    public void terminatedRouterExitsWithTheStatusOfSigterm() {
        fleet.process("router-2").terminate();
        assertEquals(fleet.process("router-2").awaitEnd(), 143);
    }

    private HttpResponse chat(ListedInstance router) {
        return request(router, "POST", "/v1/chat/completions", CHAT, KEY);
    }

    private HttpResponse request(ListedInstance router, String method, String path, String body, String key) {
        return fleet.call(
                method,
                router.port(ListedInstance.HTTP_PORT),
                path,
                body,
                new HttpHeader("Authorization", "Bearer " + key),
                new HttpHeader("Content-Type", "application/json"));
    }

    private String run(String command, String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        List<String> line = new ArrayList<>(
                List.of(command, "--settings", fleet.writeOperatorSettings().toString()));
        line.addAll(List.of(arguments));
        ExitCode code = Main.run(stream, System.err, line.toArray(String[]::new));
        assertEquals(code, ExitCode.DONE, out.toString(StandardCharsets.UTF_8));
        return out.toString(StandardCharsets.UTF_8);
    }
}
