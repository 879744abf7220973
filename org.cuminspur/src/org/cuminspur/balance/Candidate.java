package org.cuminspur.balance;

import org.cuminspur.traffic.UpstreamProcessId;

/**
 * An upstream that may take a request; immutable.
 *
 * @param local whether it is in the failure domain of the instance that holds the request
 * @param ejected whether requests of that instance failed there, so that it may only take the request if it answers others
 */
public record Candidate(UpstreamProcessId upstream, boolean local, boolean ejected) {}
