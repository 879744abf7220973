package org.cuminspur.control.system;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.cuminspur.control.ControlState;
import org.cuminspur.control.PeerRecord;
import org.cuminspur.id.InstanceId;

/** Picks live peers at random; used on the control thread only. */
final class PeerSampler {
    private final ControlState state;
    private final RandomGenerator random;

    PeerSampler(ControlState state, RandomGenerator random) {
        this.state = state;
        this.random = random;
    }

    /** Returns a random live peer. */
    Optional<InstanceId> randomPeer(long now) {
        return randomPeerMatching(now, peer -> true);
    }

    /**
     * Returns a live peer of this router's failure domain and one of any domain, so that updates still spread within an
     * isolated domain.
     */
    Stream<InstanceId> randomPair(long now) {
        Optional<InstanceId> sameDomain = randomPeerMatching(
                now, peer -> peer.domain().equals(state.self().domain()));
        return Stream.of(sameDomain, randomPeer(now)).flatMap(Optional::stream).distinct();
    }

    private Optional<InstanceId> randomPeerMatching(long now, Predicate<PeerRecord> condition) {
        List<PeerRecord> peers = state.livePeers(now).filter(condition).toList();
        return peers.isEmpty()
                ? Optional.empty()
                : Optional.of(peers.get(random.nextInt(peers.size())).id());
    }
}
