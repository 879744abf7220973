package org.cuminspur.standin;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminspur.http.LogSetup;
import org.cuminspur.standin.engine.EngineSettings;
import org.cuminspur.standin.engine.StandinEngine;
import org.cuminspur.standin.platform.StandinPlatform;
import org.cuminspur.standin.service.StandinService;

/** Starts stand-ins of one kind in this process and prints the ports that they listen on. */
public final class Main {
    private static final class Options {
        @Parameter(description = "platform | engine | service", required = true)
        private String kind;

        @Parameter(names = "--host", description = "IP address to listen on")
        private String host = "127.0.0.1";

        @Parameter(names = "--port", description = "TCP port, 0 for any free one")
        private int port;

        @Parameter(names = "--count", description = "How many to start in this process")
        private int count = 1;

        @Parameter(names = "--name", description = "Name that a service answers with")
        private String name = "service";

        @Parameter(names = "--cold-ms", description = "How long an engine is cold")
        private long coldMillis;

        @Parameter(names = "--slots", description = "Requests that an engine serves at the same time")
        private int slots = EngineSettings.QUICK.slots();

        @Parameter(names = "--answer-tokens", description = "Tokens of an engine's answer")
        private int answerTokens = EngineSettings.QUICK.answerTokens();

        @Parameter(names = "--answer-token-ms", description = "Time of one token of an engine's answer")
        private long answerTokenMillis = EngineSettings.QUICK.answerTokenMillis();
    }

    private Main() {}

    /** Runs until the process is ended. */
    public static void main(String[] args) {
        LogSetup.useLogbackFile("standin-logback.xml");
        Options options = new Options();
        JCommander.newBuilder()
                .programName("standin")
                .addObject(options)
                .build()
                .parse(args);
        String ports = IntStream.range(0, options.count)
                .mapToObj(number -> " port" + (number == 0 ? "" : "-" + number) + "=" + start(options))
                .collect(Collectors.joining());
        System.out.println("listening" + ports);
    }

    private static int start(Options options) {
        return switch (options.kind) {
            case "platform" -> new StandinPlatform(options.host, options.port).port();
            case "engine" -> new StandinEngine(options.host, options.port, engine(options)).port();
            case "service" -> new StandinService(options.host, options.port, options.name).port();
            default -> throw new IllegalArgumentException("no such stand-in: " + options.kind);
        };
    }

    private static EngineSettings engine(Options options) {
        EngineSettings quick = EngineSettings.QUICK;
        return new EngineSettings(
                options.slots,
                quick.cacheTokens(),
                quick.promptTokenMicros(),
                options.answerTokenMillis,
                options.answerTokens,
                options.coldMillis,
                quick.coldSlots(),
                quick.reportLagMillis());
    }
}
