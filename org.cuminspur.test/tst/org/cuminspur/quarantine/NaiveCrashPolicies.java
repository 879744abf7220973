package org.cuminspur.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cuminspur.internal.hash.Rendezvous;
import org.cuminspur.traffic.UpstreamState;

/** Policies that a checker must detect; not thread-safe. */
final class NaiveCrashPolicies {
    private static final int ACCUSING_CRASHES = 2;

    private NaiveCrashPolicies() {}

    /** Sends everything, and again after each failure. */
    static CrashPolicy none() {
        return new CrashPolicy() {
            @Override
            public void admit(SimulatedAttempt attempt, Consumer<Admission> result) {
                result.accept(Admission.ADMITTED);
            }

            @Override
            public void broken(UpstreamState upstream, BrokenRequest request, Consumer<Boolean> result) {
                result.accept(true);
            }
        };
    }

    /** What an instance or a fleet blocks, by hashes that a request has; instances that share it agree at once. */
    static final class Blocks {
        private final int crashes;
        private final Function<Suspects, Set<Long>> hashes;
        private final Map<Long, Set<String>> accused = new HashMap<>();
        private final Set<Long> cleared = new HashSet<>();

        private Blocks(int crashes, Function<Suspects, Set<Long>> hashes) {
            this.crashes = crashes;
            this.hashes = hashes;
        }

        /** Blocks all parts of a request whose connection broke once. */
        static Blocks afterOneBreak() {
            return new Blocks(1, NaiveCrashPolicies::each);
        }

        /** Blocks all parts together, as the key by which prompts are placed. */
        static Blocks ofKeys() {
            return new Blocks(
                    ACCUSING_CRASHES,
                    suspects -> Set.of(
                            suspects.parts().stream().mapToLong(SuspectId::hash).reduce(0, Rendezvous::mix)));
        }

        /** Blocks the first part. */
        static Blocks ofFirstParts() {
            return new Blocks(
                    ACCUSING_CRASHES, suspects -> Set.of(suspects.parts().get(0).hash()));
        }

        /** Blocks parts that were never answered. */
        static Blocks ofUnansweredParts() {
            return new Blocks(ACCUSING_CRASHES + 1, NaiveCrashPolicies::each);
        }

        /** Blocks requests that broke twice, whether their upstreams ended or not. */
        static Blocks ofBrokenRequests() {
            return new Blocks(
                    ACCUSING_CRASHES, suspects -> Set.of(suspects.request().hash()));
        }

        private boolean blocked(Suspects suspects) {
            return hashes.apply(suspects).stream()
                    .anyMatch(hash -> accused.getOrDefault(hash, Set.of()).size() >= crashes);
        }
    }

    /**
     * Blocks what fell with upstreams.
     *
     * @param clears whether an answer clears what its request has; then no broken request is sent again
     */
    static CrashPolicy blocking(Blocks blocks, boolean clears) {
        return new CrashPolicy() {
            @Override
            public void admit(SimulatedAttempt attempt, Consumer<Admission> result) {
                result.accept(blocks.blocked(attempt.suspects()) ? Admission.rejected(0) : Admission.ADMITTED);
            }

            @Override
            public boolean blocks(RequestIdentity request) {
                return blocks.blocked(new Suspects(request, List.of()));
            }

            @Override
            public void answered(SimulatedAttempt attempt) {
                if (clears) {
                    blocks.cleared.addAll(blocks.hashes.apply(attempt.suspects()));
                }
            }

            @Override
            public void broken(UpstreamState upstream, BrokenRequest request, Consumer<Boolean> result) {
                blocks.hashes.apply(request.suspects()).stream()
                        .filter(hash -> !blocks.cleared.contains(hash))
                        .forEach(hash -> blocks.accused
                                .computeIfAbsent(hash, absent -> new HashSet<>())
                                .add(upstream.id().value()));
                result.accept(!clears && !blocks.blocked(request.suspects()));
            }
        };
    }

    private static Set<Long> each(Suspects suspects) {
        Set<Long> hashes = new HashSet<>();
        suspects.parts().forEach(part -> hashes.add(part.hash()));
        return hashes;
    }
}
