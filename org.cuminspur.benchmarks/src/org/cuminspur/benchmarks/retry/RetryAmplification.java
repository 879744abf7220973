package org.cuminspur.benchmarks.retry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cuminspur.retry.AttemptEvent;
import org.cuminspur.retry.AttemptStateMachine;
import org.cuminspur.retry.NextStep;
import org.cuminspur.retry.RetryBudget;
import org.cuminspur.retry.RetryConstraints;

/**
 * Prints how many attempts upstreams see per request during an outage, for several retry budgets.
 *
 * <p>Runs under virtual time with a fixed seed. Routers do not know of the outage, as while lists lag.
 */
public final class RetryAmplification {
    private static final long SEED = 1;
    private static final int UPSTREAMS = 30;
    private static final int ACCOUNTS = 10;
    private static final int REQUESTS_PER_SECOND = 200;
    private static final int OUTAGE_SECONDS = 60;
    private static final double UNBOUNDED = RetryBudget.MAX_RETRIES_SAVED;

    /** What upstreams do during an outage; immutable. */
    private enum Outage {
        /** A third of the upstreams refuses connections. */
        THIRD_UNREACHABLE,
        /** A third of the upstreams breaks every request. */
        THIRD_BREAKS,
        /** Upstreams bear two thirds of the requests and answer 503 to the others. */
        OVERLOADED,
        /** Every upstream breaks every request. */
        ALL_BREAK
    }

    /** The result of one run; immutable. */
    private record Result(int requests, int attempts, int served) {
        String line(Outage outage, String budget) {
            return String.format(
                    Locale.ROOT,
                    "| %s | %s | %.2f | %.3f |",
                    outage.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    budget,
                    (double) attempts / requests,
                    (double) served / requests);
        }
    }

    private final Random random = new Random(SEED);
    private final Outage outage;
    private final double retriesPerSuccess;
    private final List<RetryBudget> budgets;
    private final int[] servedThisSecond = new int[UPSTREAMS];
    private int attempts;
    private int served;
    private boolean lastServed;

    private RetryAmplification(Outage outage, double retriesPerSuccess) {
        this.outage = outage;
        this.retriesPerSuccess = retriesPerSuccess;
        this.budgets = IntStream.range(0, ACCOUNTS)
                .mapToObj(account -> new RetryBudget(retriesPerSuccess))
                .toList();
    }

    /** Prints the table. */
    public static void main(String[] args) {
        System.out.println("| outage | retries per success | attempts per request | served |");
        System.out.println("|---|---|---|---|");
        Stream.of(Outage.values())
                .flatMap(outage -> Stream.of(0.1, 0.25, 0.5, UNBOUNDED)
                        .map(share ->
                                new RetryAmplification(outage, share).run().line(outage, label(share))))
                .forEach(System.out::println);
    }

    private static String label(double share) {
        return share == UNBOUNDED ? "unbounded" : Double.toString(share);
    }

    private Result run() {
        int requests = 0;
        for (int second = 0; second < OUTAGE_SECONDS; second++) {
            Arrays.fill(servedThisSecond, 0);
            for (int i = 0; i < REQUESTS_PER_SECOND; i++) {
                RetryBudget budget = budgets.get(requests++ % ACCOUNTS);
                request(retriesPerSuccess == UNBOUNDED ? new RetryBudget() : budget);
            }
        }
        return new Result(requests, attempts, served);
    }

    private void request(RetryBudget budget) {
        AttemptStateMachine decisions = new AttemptStateMachine(new RetryConstraints(true, 1), budget, () -> 0);
        List<Integer> untried =
                new ArrayList<>(IntStream.range(0, UPSTREAMS).boxed().toList());
        NextStep step = decisions.start();
        while (step instanceof NextStep.Send) {
            attempts++;
            step = decisions.handle(event(untried.remove(random.nextInt(untried.size()))));
        }
        if (step instanceof NextStep.Relay
                && decisions.handle(new AttemptEvent.AnswerCompleted()) instanceof NextStep.Finish) {
            served += lastServed ? 1 : 0;
        }
    }

    private AttemptEvent event(int upstream) {
        boolean inThird = upstream < UPSTREAMS / 3;
        boolean full = servedThisSecond[upstream] >= REQUESTS_PER_SECOND * 2 / 3 / UPSTREAMS;
        lastServed = false;
        if (outage == Outage.THIRD_UNREACHABLE && inThird) {
            return new AttemptEvent.NotConnected();
        } else if (outage == Outage.ALL_BREAK || outage == Outage.THIRD_BREAKS && inThird) {
            return new AttemptEvent.BrokenBeforeAnswer();
        } else if (outage == Outage.OVERLOADED && full) {
            return new AttemptEvent.Refused(false, 1_000);
        }
        servedThisSecond[upstream]++;
        lastServed = true;
        return new AttemptEvent.AnswerStarted();
    }
}
