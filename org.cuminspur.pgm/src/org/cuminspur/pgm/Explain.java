package org.cuminspur.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.IParameterSplitter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Try;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.client.HttpHeader;
import org.cuminspur.http.client.HttpResponse;
import org.cuminspur.pgm.internal.ExplanationText;
import org.cuminspur.time.Clock;

/** Shows where an instance would send a request now, and why, without sending it; used by one thread. */
@Parameters(commandDescription = "Explain where a request would go now, and why, without sending it")
final class Explain extends Command {
    private static final long TIMEOUT_MS = 2_000;

    /** Keeps commas, which are a part of headers; stateless. */
    public static final class WholeValue implements IParameterSplitter {
        @Override
        public List<String> split(String value) {
            return List.of(value);
        }
    }

    @Parameter(names = "--at", description = "HOST:PORT of the instance's metrics", required = true)
    private String at;

    @Parameter(names = "--host", description = "Host header of the request", required = true)
    private String host;

    @Parameter(names = "--path", description = "Path of the request", required = true)
    private String path;

    @Parameter(names = "--account", description = "Name of the client account")
    private String account = "";

    @Parameter(
            names = "--header",
            description = "NAME:VALUE of the request, may be given several times",
            splitter = WholeValue.class)
    private List<String> headers = new ArrayList<>();

    @Override
    ExitCode run(Console console) {
        int colon = at.lastIndexOf(':');
        if (colon < 0
                || !at.substring(colon + 1).matches("\\d{1,5}")
                || headers.stream().anyMatch(header -> header.indexOf(':') < 1)) {
            console.fail("expected --at HOST:PORT and --header NAME:VALUE");
            return ExitCode.WRONG_USAGE;
        }
        try (HttpClient http = new HttpClient(Clock.system(), 1, TIMEOUT_MS)) {
            HttpCall call = HttpCall.get(
                    at.substring(0, colon),
                    Integer.parseInt(at.substring(colon + 1)),
                    "/explain?host=" + encode(host) + "&path=" + encode(path) + "&account=" + encode(account),
                    headers.stream().map(Explain::header).toArray(HttpHeader[]::new));
            return http.call(call, TIMEOUT_MS)
                    .toOption()
                    .filter(HttpResponse::succeeded)
                    .flatMap(answer -> Try.of(() -> new ObjectMapper().readTree(answer.body()))
                            .toOption())
                    .map(node -> print(node, console))
                    .getOrElse(
                            () -> console.fail("the instance does not answer, or has just explained another request"));
        }
    }

    private ExitCode print(JsonNode node, Console console) {
        if (json()) {
            console.json(node);
        } else {
            ExplanationText.lines(node).forEach(console::line);
        }
        return node.has("refused") ? ExitCode.FAILED : ExitCode.DONE;
    }

    private static HttpHeader header(String text) {
        int colon = text.indexOf(':');
        return new HttpHeader(
                text.substring(0, colon).strip(), text.substring(colon + 1).strip());
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
