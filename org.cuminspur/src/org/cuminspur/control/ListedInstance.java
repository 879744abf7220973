package org.cuminspur.control;

import java.util.Map;
import org.cuminspur.id.FailureDomainId;

/**
 * An entry of the platform's instance list; immutable.
 *
 * @param name the instance's name
 * @param service the service it runs, {@link #ROUTER_SERVICE} for routers
 * @param host IP address
 * @param ports port by name
 * @param domain failure domain of the instance
 * @param incarnation changes when the instance restarts
 * @param leaving whether the platform is about to stop it
 */
public record ListedInstance(
        String name,
        String service,
        String host,
        Map<String, Integer> ports,
        FailureDomainId domain,
        String incarnation,
        boolean leaving) {
    /** Service name of the routers themselves. */
    public static final String ROUTER_SERVICE = "cuminspur";
    /** Name of the port that serves requests. */
    public static final String HTTP_PORT = "http";
    /** Name of the port on which routers send messages to each other. */
    public static final String PEER_PORT = "peer";
    /** Name of the port for operators. */
    public static final String OPERATOR_PORT = "operator";

    public ListedInstance {
        ports = Map.copyOf(ports);
    }

    /** Returns a port by name, or 0 if there is none. */
    public int port(String portName) {
        return ports.getOrDefault(portName, 0);
    }
}
