package org.cuminspur.platform;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cuminspur.standin.users.StandinServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks what callers are told when a server writes an earlier refusal once more on a kept connection. */
public class RepeatedRefusalTest {
    private static final int REQUESTS = 12;

    /** Statuses that promise that a request has not run. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private final List<String> runs = new CopyOnWriteArrayList<>();
    private final Map<Socket, String> refusals = new ConcurrentHashMap<>();
    private volatile boolean refusing;
    private Deployment deployment;

    @BeforeMethod
    public void start() {
        deployment = new Deployment();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        deployment.close();
        runs.clear();
        refusals.clear();
    }

    @DataProvider
    public Object[][] refusals() {
        return new Object[][] {{true, true}, {true, false}, {false, true}, {false, false}};
    }

    /**
     * Guards against a caller that is told that its request has not run though a server runs it, and against a second run.
     *
     * @param names whether the refusals name the requests that they answer
     * @param callerRepeats whether the caller sends the refused request again, rather than another one
     */
    @Test(dataProvider = "refusals")
    public void requestThatRunsIsNotRefusedByAnEarlierRefusal(boolean names, boolean callerRepeats) {
        List.of(deployment.appA, deployment.appB)
                .forEach(server -> server.setBehaviour((connection, request) -> {
                    if (refusing) {
                        refusals.put(connection.socket(), refusal(names ? "Attempt-Id: " + request.id() + "\r\n" : ""));
                        connection.send(refusals.get(connection.socket()));
                        return true;
                    }
                    runs.add(request.id());
                    String earlier = refusals.remove(connection.socket());
                    connection.send(earlier == null ? "" : earlier);
                    return StandinServer.plainAnswer("done").answer(connection, request);
                }));
        for (int i = 0; i < REQUESTS; i++) {
            String id = "request-" + i;
            refusing = true;
            status(callerRepeats ? id : "refused-" + i);
            refusing = false;
            int status = status(id);
            long count = runs.stream().filter(id::equals).count();
            assertTrue(count <= 1, id + " ran " + count + " times");
            assertFalse(count > 0 && NOT_RUN.contains(status), id + " ran, and its caller got " + status);
        }
    }

    private int status(String id) {
        try {
            return deployment.post("/book/x", id, "").status();
        } catch (IOException e) {
            // There was no answer, which promises nothing.
            return 0;
        }
    }

    private static String refusal(String idLine) {
        return "HTTP/1.1 503 Busy\r\n" + idLine + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }
}
