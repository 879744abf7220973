package org.cuminspur.standin.users;

/** Generates the settings file that the deployment platform gives to an instance; stateless. */
public final class InstanceSettings {
    private InstanceSettings() {}

    /** Returns the settings of an instance on the loopback address; other instances reach it at the peers port. */
    public static String text(
            String name, String domain, int callersPort, int readinessPort, int peersPort, int storePort) {
        return text(name, domain, callersPort, readinessPort, 0, peersPort, storePort);
    }

    /** Returns the settings of an instance with a port for operators, any free one if it is 0. */
    public static String text(
            String name,
            String domain,
            int callersPort,
            int readinessPort,
            int metricsPort,
            int peersPort,
            int storePort) {
        return String.join(
                "\n",
                "[instance]",
                "name = " + name,
                "domain = " + domain,
                "[listen]",
                "callers = 127.0.0.1:" + callersPort,
                "readiness = 127.0.0.1:" + readinessPort,
                "metrics-port = " + metricsPort,
                "peers = 127.0.0.1:" + peersPort,
                "[store]",
                "address = 127.0.0.1:" + storePort,
                "[bounds]",
                "revoke = 5s",
                "retry-ratio = 0.2",
                "retry-slack = 52",
                "retry-window = 10s",
                "cold-overage = 1.5",
                "cold-slack = 5",
                "load-factor = 2",
                "grace = 8s",
                "");
    }
}
