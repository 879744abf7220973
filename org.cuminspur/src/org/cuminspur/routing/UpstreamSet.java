package org.cuminspur.routing;

import java.util.stream.Stream;
import org.cuminspur.config.ServiceSpec;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * The upstreams of one service that may take new work.
 *
 * <p>Immutable and safe to share between threads. Uses arrays, since placement scans all upstreams for each
 * request.
 */
public final class UpstreamSet {
    private final ServiceSpec service;
    private final UpstreamView[] views;
    private final long[] hashes;

    public UpstreamSet(ServiceSpec service, UpstreamView... views) {
        this.service = service;
        this.views = views.clone();
        this.hashes = Stream.of(views)
                .mapToLong(view -> Rendezvous.hash(view.id().value()))
                .toArray();
    }

    public ServiceSpec service() {
        return service;
    }

    /** Returns the number of upstreams. */
    public int size() {
        return views.length;
    }

    /** Returns the upstream at a position. */
    public UpstreamView view(int position) {
        return views[position];
    }

    /** Returns the hash of the id of the upstream at a position. */
    long hash(int position) {
        return hashes[position];
    }

    /** Returns the upstreams in order of their ids. */
    public Stream<UpstreamView> views() {
        return Stream.of(views);
    }
}
