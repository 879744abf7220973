package org.cuminspur.http;

/** Chooses a process's log settings; must run before anything is logged. Stateless. */
public final class LogSetup {
    private static final String LOGBACK_FILE = "logback.configurationFile";
    private static final String UNDERTOW_LOGS = "org.jboss.logging.provider";

    private LogSetup() {}

    /** Uses a Logback file on the class path, unless the command line names another. */
    public static void useLogbackFile(String logbackFile) {
        setDefault(LOGBACK_FILE, logbackFile);
        useSlf4j();
    }

    /** Lets libraries log through SLF4J; the process chooses where the lines go. */
    public static void useSlf4j() {
        setDefault(UNDERTOW_LOGS, "slf4j");
    }

    private static void setDefault(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }
}
