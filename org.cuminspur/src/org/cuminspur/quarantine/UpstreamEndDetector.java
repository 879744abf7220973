package org.cuminspur.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamEntry;

/**
 * Tells the end of an upstream's process from the loss of single connections to it.
 *
 * <p>Not thread-safe; confined to the traffic thread. Connections also break if they are reset, if a response is lost or
 * malformed, or if a link fails. The process has ended if it then refuses connections, or if its entry goes or states
 * another process. A response to a later request proves the contrary. An end is reported once, and only if requests were
 * in progress.
 */
public final class UpstreamEndDetector {
    /** How long broken requests are kept for a proof: longer than the entry of a crashed process stays. */
    static final long RETENTION_MS = 8_000;

    /** Requests kept for one upstream; the latest ones are kept. */
    static final int MAX_REQUESTS = 32;

    private static final int MAX_UPSTREAMS = 256;

    private static final class Suspicion {
        private final UpstreamEntry upstream;
        private final List<BrokenRequest> requests = new ArrayList<>();
        private long lastBrokenMillis;

        Suspicion(UpstreamEntry upstream) {
            this.upstream = upstream;
        }
    }

    private final Map<UpstreamId, Suspicion> suspicions = new LinkedHashMap<>();
    private final Consumer<UpstreamEnd> listener;

    /**
     * Creates a detector without any request.
     *
     * @param listener receives each end of a process
     */
    public UpstreamEndDetector(Consumer<UpstreamEnd> listener) {
        this.listener = listener;
    }

    /** Records a request whose connection broke. */
    public void recordBroken(UpstreamEntry upstream, BrokenRequest request, long nowMillis) {
        evictExpired(nowMillis);
        Suspicion suspicion = suspicions.get(upstream.id());
        if (suspicion == null || !suspicion.upstream.sameProcess(upstream)) {
            suspicion = new Suspicion(upstream);
            suspicions.put(upstream.id(), suspicion);
        }
        if (suspicion.requests.size() >= MAX_REQUESTS) {
            suspicion.requests.remove(0);
        }
        suspicion.requests.add(request);
        suspicion.lastBrokenMillis = nowMillis;
    }

    /** Returns whether requests broke at a process, and it is not known whether it has ended. */
    boolean isUnproven(UpstreamEntry upstream) {
        return find(upstream).isPresent();
    }

    /** Returns the other upstreams where the same request broke without an answer, if it is not known whether they ended. */
    List<UpstreamId> unprovenFor(BrokenRequest request, UpstreamEntry except) {
        return suspicions.values().stream()
                .filter(suspicion -> !suspicion.upstream.sameProcess(except))
                .filter(suspicion ->
                        suspicion.requests.stream().anyMatch(other -> other.isSuspect() && isSame(request, other)))
                .map(suspicion -> suspicion.upstream.id())
                .toList();
    }

    private static boolean isSame(BrokenRequest request, BrokenRequest other) {
        return request.suspects().request().equals(other.suspects().request());
    }

    /** Records that the process answered a request that was sent at {@code sentMillis}, so it lived until then. */
    public void recordAlive(UpstreamEntry upstream, long sentMillis) {
        find(upstream)
                .filter(suspicion -> suspicion.lastBrokenMillis < sentMillis)
                .ifPresent(suspicion -> suspicions.remove(upstream.id()));
    }

    /** Records that the process refused a connection. */
    public void recordRefused(UpstreamEntry upstream, long nowMillis) {
        evictExpired(nowMillis);
        find(upstream).ifPresent(suspicion -> report(suspicion, UpstreamEnd.Proof.CONNECTION_REFUSED));
    }

    /** Applies a newer view of the fleet. */
    public void update(FleetView view, long nowMillis) {
        evictExpired(nowMillis);
        List.copyOf(suspicions.values()).forEach(suspicion -> {
            UpstreamEntry entry = view.upstreams().get(suspicion.upstream.id());
            if (entry == null) {
                report(suspicion, UpstreamEnd.Proof.ENTRY_REMOVED);
            } else if (!entry.sameProcess(suspicion.upstream)) {
                report(suspicion, UpstreamEnd.Proof.ENTRY_REPLACED);
            }
        });
    }

    private Optional<Suspicion> find(UpstreamEntry upstream) {
        return Optional.ofNullable(suspicions.get(upstream.id()))
                .filter(suspicion -> suspicion.upstream.sameProcess(upstream));
    }

    private void report(Suspicion suspicion, UpstreamEnd.Proof proof) {
        suspicions.remove(suspicion.upstream.id());
        listener.accept(new UpstreamEnd(suspicion.upstream, proof, suspicion.requests));
    }

    private void evictExpired(long nowMillis) {
        suspicions.values().removeIf(suspicion -> nowMillis - suspicion.lastBrokenMillis > RETENTION_MS);
        while (suspicions.size() > MAX_UPSTREAMS) {
            suspicions.remove(suspicions.keySet().iterator().next());
        }
    }
}
