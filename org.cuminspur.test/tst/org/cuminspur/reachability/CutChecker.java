package org.cuminspur.reachability;

import java.util.ArrayList;
import java.util.List;

/**
 * Counts how callers are served while some instances are cut off from upstreams; not thread-safe.
 *
 * <p>Callers' first requests at the instances that are cut off must be served two thirds as often as at the others, or few
 * of them fail. What must run at most once does.
 */
final class CutChecker {
    private static final double MIN_RATIO = 2.0 / 3;
    private static final int ALLOWED_FAILURES = 10;
    private static final int ALLOWED_SHARE = 50;
    private static final int MAX_HOPS = 1;

    /** Share of what is sent to other instances that may be sent to one that is cut off itself. */
    private static final double MAX_VAIN_RELAYS = 0.1;

    private final List<Cut> cuts = new ArrayList<>();
    private final List<SimulatedRequest> requests = new ArrayList<>();
    private final long contactMillis;
    private int relays;
    private int vainRelays;
    private int peakRelayed;
    private int messagesBefore;

    CutChecker(long contactMillis) {
        this.contactMillis = contactMillis;
    }

    void add(Cut cut) {
        cuts.add(cut);
    }

    void sent(SimulatedRequest request) {
        requests.add(request);
    }

    /** Records a request that goes through another instance. */
    void relayed(boolean relayIsCut, long nowMillis) {
        boolean settledCut = cuts.stream()
                .anyMatch(cut -> nowMillis >= cut.fromMillis() + contactMillis && nowMillis < cut.toMillis());
        relays += settledCut ? 1 : 0;
        vainRelays += settledCut && relayIsCut ? 1 : 0;
    }

    void messageSentBeforeAnyCut() {
        messagesBefore++;
    }

    void relayedInProgress(int count) {
        peakRelayed = Math.max(peakRelayed, count);
    }

    int peakRelayed() {
        return peakRelayed;
    }

    int messagesBeforeAnyCut() {
        return messagesBefore;
    }

    /** Returns whether the instances that are cut off serve their callers, in each of the cuts. */
    boolean callersAreServed() {
        return cuts.stream().allMatch(this::isServed);
    }

    private boolean isServed(Cut cut) {
        Count cutOff = count(cut, true);
        Count others = count(cut, false);
        boolean seldom = cutOff.sent > 0
                && others.sent > 0
                && (double) cutOff.served / cutOff.sent < MIN_RATIO * others.served / others.sent;
        int failed = cutOff.sent - cutOff.served;
        return !seldom || failed <= ALLOWED_FAILURES + (cutOff.sent + others.sent) / ALLOWED_SHARE;
    }

    boolean runsAtMostOnce() {
        return requests.stream().allMatch(request -> request.repeatable || request.runs <= 1);
    }

    boolean noRequestGoesOnFromRelay() {
        return requests.stream().allMatch(request -> request.hops <= MAX_HOPS);
    }

    boolean relaysReachUpstreams() {
        return vainRelays <= MAX_VAIN_RELAYS * relays + 2;
    }

    /** Returns the share of all requests sent in a time that were served. */
    double servedShare(long fromMillis, long toMillis) {
        List<SimulatedRequest> sent = requests.stream()
                .filter(request -> request.sentMillis >= fromMillis && request.sentMillis < toMillis)
                .toList();
        return (double) sent.stream().filter(SimulatedRequest::isServed).count() / sent.size();
    }

    private record Count(int sent, int served) {}

    private Count count(Cut cut, boolean affected) {
        List<SimulatedRequest> counted = requests.stream()
                .filter(request -> request.sentMillis >= cut.fromMillis() + contactMillis
                        && request.sentMillis < cut.toMillis()
                        && cut.services().contains(request.service)
                        && cut.isAffected(request.instance) == affected)
                .toList();
        return new Count(counted.size(), (int)
                counted.stream().filter(SimulatedRequest::isServed).count());
    }

    @Override
    public String toString() {
        return cuts.stream()
                        .map(cut -> cut.manner() + " at " + cut.instances().size() + ": " + count(cut, true)
                                + ", others " + count(cut, false))
                        .toList()
                + "; relays " + relays + ", in vain " + vainRelays + ", at once " + peakRelayed;
    }
}
