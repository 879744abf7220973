package org.cuminspur.router;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cuminspur.config.ConfigFault;
import org.cuminspur.http.LogSetup;

/** Starts a router process; exits with 1 on bad settings and 2 on wrong usage. */
public final class Main {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    private static final class Options {
        @Parameter(names = "--settings", description = "INI file with this router's settings", required = true)
        private String settings;

        @Parameter(names = "--check", description = "Check the settings and exit")
        private boolean check;

        @Parameter(names = "--help", description = "Show this help", help = true)
        private boolean help;
    }

    private Main() {}

    /** Starts the router, which runs until the process is told to stop. */
    public static void main(String[] args) throws IOException {
        LogSetup.useLogbackFile("cuminspurd-logback.xml");
        Options options = new Options();
        JCommander commander = JCommander.newBuilder()
                .programName("cuminspurd")
                .addObject(options)
                .build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            commander.usage();
            System.exit(EXIT_USAGE);
        }
        if (options.help) {
            commander.usage();
            return;
        }
        start(Path.of(options.settings), options.check);
    }

    private static void start(Path file, boolean checkOnly) throws IOException {
        if (!Files.isReadable(file)) {
            System.err.println("cannot read " + file);
            System.exit(EXIT_FAILURE);
        }
        Either<List<ConfigFault>, RouterSettings> settings =
                RouterSettingsParser.parse(file.toString(), Files.readString(file));
        if (settings.isLeft()) {
            settings.getLeft().forEach(System.err::println);
            System.exit(EXIT_FAILURE);
        }
        if (!checkOnly) {
            RouterDaemon daemon = RouterDaemon.start(settings.get());
            Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
            System.out.println(daemon.listeningLine());
        }
    }
}
