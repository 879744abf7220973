package org.cuminspur.traffic;

import java.util.List;

/**
 * Size of a simulated fleet and its faults; immutable.
 *
 * @param versions in the order of their releases
 * @param messageLoss share of the messages between instances that are lost
 * @param idsChangeVersion whether a server that is back under its id may have another version
 */
record SimulatedStreamFleet(
        int instances,
        int servers,
        double streamsPerSecond,
        List<String> versions,
        double messageLoss,
        boolean idsChangeVersion) {
    @Override
    public String toString() {
        return instances + " instances, versions " + versions + ", loss " + messageLoss;
    }
}
