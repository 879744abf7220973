package org.cuminspur.http;

/** Configures the logging of a process; must run before anything is logged. Stateless. */
public final class LogSetup {
    private static final String LOGBACK_FILE_PROPERTY = "logback.configurationFile";
    private static final String JBOSS_LOGGING_PROPERTY = "org.jboss.logging.provider";

    private LogSetup() {}

    /** Configures Logback from a file on the class path, unless a system property names another. */
    public static void useLogbackFile(String logbackFile) {
        setPropertyIfAbsent(LOGBACK_FILE_PROPERTY, logbackFile);
        useSlf4j();
    }

    /** Makes libraries log through SLF4J; the process configures where that writes. */
    public static void useSlf4j() {
        setPropertyIfAbsent(JBOSS_LOGGING_PROPERTY, "slf4j");
    }

    private static void setPropertyIfAbsent(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }
}
