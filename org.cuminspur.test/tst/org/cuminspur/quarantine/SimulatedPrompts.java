package org.cuminspur.quarantine;

import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cuminspur.id.PromptPartId;
import org.cuminspur.internal.hash.Rendezvous;

/** The parts of prompts in simulations, and the names of requests that come again; stateless and thread-safe. */
final class SimulatedPrompts {
    /** The part that crashes upstreams. */
    static final PromptPartId CRASHING = part("crashing");

    /** A request that crashes upstreams, whatever its parts. */
    static final String CRASHING_REQUEST = "crashing-request";

    /** A sound part that only requests in progress at upstreams that end have. */
    static final PromptPartId SOUND = part("sound");

    static final int FIRST_PARTS = 4;
    static final int SECOND_PARTS = 40;

    private SimulatedPrompts() {}

    static PromptPartId firstPart(int number) {
        return part("first-" + number);
    }

    static PromptPartId secondPart(int number) {
        return part("second-" + number);
    }

    /** Returns a part that few requests have. */
    static PromptPartId rarePart(int number) {
        return part("rare-" + number);
    }

    /** Returns the name of a sound request that comes again and again. */
    static String poll(int number) {
        return "poll-" + number;
    }

    /** Returns all parts that crash no upstream, with the first of the rare ones. */
    static Stream<PromptPartId> soundParts(int rareParts) {
        return Stream.of(
                        Stream.of(SOUND),
                        IntStream.range(0, FIRST_PARTS).mapToObj(SimulatedPrompts::firstPart),
                        IntStream.range(0, SECOND_PARTS).mapToObj(SimulatedPrompts::secondPart),
                        IntStream.range(0, rareParts).mapToObj(SimulatedPrompts::rarePart))
                .flatMap(parts -> parts);
    }

    private static PromptPartId part(String name) {
        return new PromptPartId(Rendezvous.hash(name));
    }
}
