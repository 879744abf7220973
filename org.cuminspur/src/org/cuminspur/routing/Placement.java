package org.cuminspur.routing;

import java.util.Optional;
import java.util.Set;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Chooses the upstream for a request.
 *
 * <p>Stateless and thread-safe. Each chat ranks the upstreams by its weighted rendezvous scores, and goes to the
 * first that has room and does not spill it. Whether an upstream spills a chat follows from a hash of both, so that all
 * routers move the same chats to the same next choice.
 */
public final class Placement {
    private static final long SPILL_SALT = 0x5B1F_7A0D_93C4_E26BL;
    private static final int MAX_TRIES = 4;

    private Placement() {}

    /**
     * Returns the preferred upstream that has room, with a request started on its tracker.
     *
     * @param chat hash of the chat, or of the request if it belongs to none
     * @param excluded upstreams at which this request has failed
     */
    public static Optional<UpstreamView> place(UpstreamSet set, long chat, Set<UpstreamId> excluded) {
        for (int attempt = 0; attempt < MAX_TRIES; attempt++) {
            int position = choosePosition(set, chat, excluded);
            if (position < 0) {
                return Optional.empty();
            }
            UpstreamView view = set.view(position);
            if (view.tracker().tryStart(view.allowance())) {
                return Optional.of(view);
            }
        }
        return Optional.empty();
    }

    /** Returns the position of the chosen upstream, or -1; if all spill the chat, the highest-ranked serves it. */
    private static int choosePosition(UpstreamSet set, long chat, Set<UpstreamId> excluded) {
        int best = -1;
        int spilledBest = -1;
        double bestScore = -1;
        double spilledBestScore = -1;
        for (int i = 0; i < set.size(); i++) {
            UpstreamView view = set.view(i);
            long pairHash = Rendezvous.mix(chat, set.hash(i));
            double unit = Rendezvous.toUnitInterval(pairHash);
            if (!Rendezvous.mayExceed(unit, view.weight(), bestScore)) {
                continue;
            }
            double score = Rendezvous.scoreOfUnit(unit, view.weight());
            if (score <= bestScore || !mayTake(set, view, excluded)) {
                continue;
            }
            if (spills(view, pairHash)) {
                spilledBest = score > spilledBestScore ? i : spilledBest;
                spilledBestScore = Math.max(score, spilledBestScore);
            } else {
                best = i;
                bestScore = score;
            }
        }
        return best >= 0 ? best : spilledBest;
    }

    private static boolean mayTake(UpstreamSet set, UpstreamView view, Set<UpstreamId> excluded) {
        int inProgress = view.tracker().inProgress();
        return inProgress < view.allowance()
                && inProgress < set.service().slots()
                && (excluded.isEmpty() || !excluded.contains(view.id()));
    }

    private static boolean spills(UpstreamView view, long pairHash) {
        return view.spillShare() > 0
                && Rendezvous.toUnitInterval(Rendezvous.mix(pairHash, SPILL_SALT)) < view.spillShare();
    }
}
