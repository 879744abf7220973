package org.cuminspur.control.system;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.cuminspur.control.ControlState;
import org.cuminspur.control.PeerRecord;
import org.cuminspur.id.InstanceId;

/** Draws live peers at random to talk to; used on the control thread only. */
final class PeerSampler {
    private final ControlState state;
    private final RandomGenerator random;

    PeerSampler(ControlState state, RandomGenerator random) {
        this.state = state;
        this.random = random;
    }

    /** Returns any live peer. */
    Optional<InstanceId> any(long now) {
        return one(now, peer -> true);
    }

    /** Returns one peer of the own failure domain and one of any, so that news spreads within a domain cut off. */
    Stream<InstanceId> pair(long now) {
        Optional<InstanceId> near =
                one(now, peer -> peer.domain().equals(state.self().domain()));
        return Stream.of(near, any(now)).flatMap(Optional::stream).distinct();
    }

    private Optional<InstanceId> one(long now, Predicate<PeerRecord> wanted) {
        List<PeerRecord> peers = state.livePeers(now).filter(wanted).toList();
        return peers.isEmpty()
                ? Optional.empty()
                : Optional.of(peers.get(random.nextInt(peers.size())).id());
    }
}
