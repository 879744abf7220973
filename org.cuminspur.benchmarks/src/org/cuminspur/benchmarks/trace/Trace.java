package org.cuminspur.benchmarks.trace;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.cuminspur.benchmarks.trace.ChatTemplate.Turn;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Requests in order of time, made from the recorded chats at a wanted rate.
 *
 * <p>Immutable. Equal arguments give equal traces.
 */
public final class Trace {
    private static final String FILE = "/traces/chats.tsv";

    /**
     * One request; immutable.
     *
     * @param chat hash of its chat
     * @param draw a number of its own, by which the balancer chooses a router
     */
    public record Request(long atMillis, long chat, String account, int promptTokens, int answerTokens, long draw) {}

    private Trace() {}

    /** Returns the chat templates of the file. */
    public static List<ChatTemplate> templates() {
        try (BufferedReader reader = new BufferedReader(
                new InputStreamReader(Trace.class.getResourceAsStream(FILE), StandardCharsets.UTF_8))) {
            return reader.lines().map(Trace::template).toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the requests of a time, at a mean rate; chats that began before it are met in their midst. */
    public static List<Request> requests(List<ChatTemplate> templates, double perSecond, long lengthMillis, long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        long wanted = (long) (perSecond * lengthMillis / 1_000);
        List<Request> requests = new ArrayList<>();
        long[] copies = new long[templates.size()];
        while (requests.size() < wanted) {
            int index = random.nextInt(templates.size());
            ChatTemplate template = templates.get(index);
            long start =
                    (long) (random.nextDouble() * (lengthMillis + template.lengthMillis())) - template.lengthMillis();
            long chat = Rendezvous.mix(Rendezvous.mix(seed, index), copies[index]++ / template.sharing());
            for (Turn turn : template.turns()) {
                long at = start + turn.offsetMillis();
                if (at >= 0 && at < lengthMillis) {
                    requests.add(new Request(
                            at, chat, template.account(), turn.promptTokens(), turn.answerTokens(), random.nextLong()));
                }
            }
        }
        requests.sort(Comparator.comparingLong(Request::atMillis));
        return requests;
    }

    private static ChatTemplate template(String line) {
        String[] fields = line.split("\t", -1);
        List<Turn> turns = Arrays.stream(fields[2].split(" ", -1))
                .map(part -> part.split(":", -1))
                .map(part -> new Turn(Integer.parseInt(part[0]), Integer.parseInt(part[1]), Integer.parseInt(part[2])))
                .toList();
        return new ChatTemplate(fields[0], Integer.parseInt(fields[1]), turns);
    }
}
