package org.cuminspur.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;
import org.cuminspur.traffic.UpstreamState;

/**
 * Finds out whether a request whose connection broke may be sent to another upstream, or may crash that too.
 *
 * <p>Not thread-safe; confined to the traffic thread. A request may be sent again if its upstream goes on, or if it broke
 * for the first time and each of its shared parts was answered lately. Whether the upstream has ended is found out by a
 * connection to it, one for all requests that broke there at a time: at once if a request waits for it, otherwise only if
 * nothing else shows it soon.
 */
public final class CrashInquiry {
    /** Time in which a process that ends has closed its port too. */
    static final long SETTLE_MS = 20;

    /** Time in which other requests show whether an upstream goes on, or refuses connections. */
    static final long VERIFY_MS = 2_000;

    private static final int MAX_UPSTREAMS = 256;

    /** What a new connection shows of an upstream. */
    public enum Probe {
        LISTENING,
        REFUSED,
        /** Neither in time. */
        UNKNOWN
    }

    private final Clock clock;
    private final Timer timer;
    private final CrashQuarantine quarantine;
    private final UpstreamEndDetector ends;
    private final BiConsumer<UpstreamState, Consumer<Probe>> prober;
    private final Map<UpstreamId, List<Consumer<Probe>>> probing = new HashMap<>();
    private final Map<UpstreamId, UpstreamState> broken = new LinkedHashMap<>();

    /**
     * Creates an inquiry.
     *
     * @param ends receives what probes show; its listener tells the quarantine
     * @param prober opens a connection to an upstream and passes on what it shows, later
     */
    public CrashInquiry(
            Clock clock,
            Timer timer,
            CrashQuarantine quarantine,
            UpstreamEndDetector ends,
            BiConsumer<UpstreamState, Consumer<Probe>> prober) {
        this.clock = clock;
        this.timer = timer;
        this.quarantine = quarantine;
        this.ends = ends;
        this.prober = prober;
    }

    /**
     * Records a request whose connection broke.
     *
     * @param mayRepeat receives whether it may be sent to another upstream, at once or when that is known
     */
    public void recordBroken(UpstreamState upstream, BrokenRequest request, Consumer<Boolean> mayRepeat) {
        long now = clock.millis();
        remember(upstream);
        List<UpstreamId> before = ends.unprovenFor(request, upstream.entry());
        ends.recordBroken(upstream.entry(), request, now);
        if (!request.isSuspect()) {
            mayRepeat.accept(true);
        } else if (before.isEmpty()
                && !quarantine.isAccused(request.suspects())
                && quarantine.areAnswered(request.suspects().parts())) {
            timer.schedule(VERIFY_MS, () -> verify(upstream));
            mayRepeat.accept(true);
        } else {
            before.forEach(id -> verify(broken.get(id)));
            probe(upstream, SETTLE_MS, probe -> {
                switch (probe) {
                    case LISTENING -> mayRepeat.accept(true);
                    case REFUSED -> quarantine.awaitVerdict(request.suspects(), mayRepeat);
                    default -> mayRepeat.accept(false);
                }
            });
        }
    }

    /** Finds out whether an upstream has ended, unless that is known meanwhile. */
    private void verify(UpstreamState upstream) {
        if (upstream != null && ends.isUnproven(upstream.entry())) {
            probe(upstream, 0, probe -> {});
        }
    }

    private void remember(UpstreamState upstream) {
        broken.remove(upstream.id());
        broken.put(upstream.id(), upstream);
        if (broken.size() > MAX_UPSTREAMS) {
            broken.remove(broken.keySet().iterator().next());
        }
    }

    private void probe(UpstreamState upstream, long delayMillis, Consumer<Probe> result) {
        List<Consumer<Probe>> waiting = probing.get(upstream.id());
        if (waiting != null) {
            waiting.add(result);
            return;
        }
        List<Consumer<Probe>> results = new ArrayList<>(List.of(result));
        probing.put(upstream.id(), results);
        timer.schedule(
                delayMillis,
                () -> prober.accept(upstream, probe -> {
                    probing.remove(upstream.id());
                    record(upstream, probe);
                    results.forEach(one -> one.accept(probe));
                }));
    }

    private void record(UpstreamState upstream, Probe probe) {
        if (probe == Probe.LISTENING) {
            ends.recordAlive(upstream.entry(), clock.millis());
        } else if (probe == Probe.REFUSED) {
            ends.recordRefused(upstream.entry(), clock.millis());
        }
    }
}
