package org.cuminspur.pgm;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cuminspur.http.LogSetup;

/** Runs one subcommand; exits with 0 when done, 1 when refused or failed, 2 on wrong usage. */
public final class Main {
    /** The option that stands before any subcommand. */
    private static final class Help {
        @Parameter(names = "--help", description = "Show this help", help = true)
        private boolean wanted;
    }

    private Main() {}

    /** Runs the command line and exits. */
    public static void main(String[] args) {
        LogSetup.useLogbackFile("cuminspur-logback.xml");
        System.exit(run(System.out, System.err, args).value());
    }

    /** Runs the command line and returns how it ended. */
    public static ExitCode run(PrintStream out, PrintStream err, String... args) {
        Map<String, Command> commands = commands();
        Help help = new Help();
        JCommander.Builder builder =
                JCommander.newBuilder().programName("cuminspur").addObject(help);
        commands.forEach(builder::addCommand);
        JCommander commander = builder.build();
        Console console = new Console(out, err);
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            err.println("error: " + e.getMessage());
            err.println(usage(commander));
            return ExitCode.WRONG_USAGE;
        }
        if (help.wanted) {
            out.println(usage(commander));
            return ExitCode.DONE;
        }
        Command command = commands.get(commander.getParsedCommand());
        if (command == null) {
            err.println(usage(commander));
            return ExitCode.WRONG_USAGE;
        }
        if (command.help()) {
            out.println(usage(commander));
            return ExitCode.DONE;
        }
        return command.run(console);
    }

    private static Map<String, Command> commands() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("check", new Check());
        commands.put("publish", new Publish());
        commands.put("take-out", new TakeOut());
        commands.put("bring-back", new BringBack());
        commands.put("status", new Status());
        commands.put("report", new Report());
        commands.put("explain", new Explain());
        return commands;
    }

    private static String usage(JCommander commander) {
        StringBuilder text = new StringBuilder();
        String parsed = commander.getParsedCommand();
        JCommander described =
                parsed == null ? commander : commander.getCommands().get(parsed);
        described.getUsageFormatter().usage(text);
        return text.toString();
    }
}
