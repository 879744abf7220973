package org.cuminspur.routing;

import java.util.Optional;
import java.util.Set;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Chooses the upstream for a request.
 *
 * <p>Stateless and thread-safe. The same chat goes to the same upstream on every router while the upstreams stay.
 */
public final class Placement {
    private Placement() {}

    /**
     * Returns the preferred upstream that has room, with a request started on its gauge.
     *
     * @param chat hash of the chat, or of the request if it belongs to none
     * @param excluded upstreams that have failed this request
     */
    public static Optional<UpstreamView> place(UpstreamSet set, long chat, Set<UpstreamId> excluded) {
        Optional<UpstreamView> best = best(set, chat, excluded);
        return best.filter(view -> view.gauge().tryStart(view.allowance()));
    }

    private static Optional<UpstreamView> best(UpstreamSet set, long chat, Set<UpstreamId> excluded) {
        UpstreamView best = null;
        double bestScore = -1;
        for (int i = 0; i < set.size(); i++) {
            UpstreamView view = set.view(i);
            double score = Rendezvous.score(chat, set.hash(i), view.weight());
            if (score > bestScore && hasRoom(set, view) && !excluded.contains(view.id())) {
                best = view;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean hasRoom(UpstreamSet set, UpstreamView view) {
        int inProgress = view.gauge().inProgress();
        return inProgress < view.allowance() && inProgress < set.service().slots();
    }
}
