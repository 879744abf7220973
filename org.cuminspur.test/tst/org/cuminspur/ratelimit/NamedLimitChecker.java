package org.cuminspur.ratelimit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts what upstreams that name limits get; not thread-safe.
 *
 * <p>In no window more than a multiple of the limit arrives, from the instances that know it by a response that they
 * passed on; and the limit is used.
 */
final class NamedLimitChecker {
    private static final long WINDOW_MS = 4_000;
    private static final double WINDOW_SECONDS = 4;
    private static final double FACTOR = 1.5;
    private static final double SLACK = 5;

    /** Time from a response that named the limit from which the requests of its instance count. */
    private static final long KNOWN_MS = 500;

    /** Least share of the limits that is used while the load is higher, and of the usual load after they end. */
    private static final double MIN_USED = 0.5;

    /** One upstream's process with its limit. */
    private static final class Limited {
        private final double limit;
        private final double usual;
        private final long namedMillis;
        private final Map<Object, Long> passedOnMillis = new HashMap<>();
        private final List<Long> counted = new ArrayList<>();
        private int arrived;

        Limited(double limit, double usual, long namedMillis) {
            this.limit = limit;
            this.usual = usual;
            this.namedMillis = namedMillis;
        }

        int mostInWindow() {
            int most = 0;
            int first = 0;
            for (int last = 0; last < counted.size(); last++) {
                while (counted.get(last) - counted.get(first) >= WINDOW_MS) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
            return most;
        }

        double allowed() {
            return FACTOR * limit * WINDOW_SECONDS + SLACK;
        }
    }

    private final long contactMillis;
    private final Map<Object, Limited> limited = new HashMap<>();
    private final List<Limited> ended = new ArrayList<>();
    private int sent;
    private int taken;
    private long lastMillis;
    private int usualAfter;

    NamedLimitChecker(long contactMillis) {
        this.contactMillis = contactMillis;
    }

    /**
     * Records that an upstream names a limit from now on.
     *
     * @param usual requests a second that it got before
     */
    void begin(Object upstream, double limit, double usual, long nowMillis) {
        limited.put(upstream, new Limited(limit, usual, nowMillis));
    }

    /** Records that an upstream names no limit any more. */
    void end(Object upstream, long nowMillis) {
        Limited over = limited.remove(upstream);
        if (over != null) {
            ended.add(over);
            lastMillis = nowMillis;
        }
    }

    /** Records that an instance passed a response on that named a limit. */
    void passedOn(Object upstream, Object instance, long nowMillis) {
        if (limited.containsKey(upstream)) {
            limited.get(upstream).passedOnMillis.putIfAbsent(instance, nowMillis);
        }
    }

    /**
     * Records a request that reaches an upstream.
     *
     * @param excused whether its instance was restarted or cut off lately
     */
    void arrived(Object upstream, Object instance, boolean excused, long nowMillis) {
        Limited now = limited.get(upstream);
        if (now == null || nowMillis < now.namedMillis + contactMillis) {
            return;
        }
        now.arrived++;
        Long passedOn = now.passedOnMillis.get(instance);
        if (!excused && passedOn != null && nowMillis >= passedOn + KNOWN_MS) {
            now.counted.add(nowMillis);
        }
    }

    /** Records a caller's request while limits are named, and whether an upstream took it. */
    void called(boolean wasTaken) {
        sent++;
        taken += wasTaken ? 1 : 0;
    }

    /** Records a request that reaches an upstream whose limit has ended a while ago. */
    void arrivedAfter() {
        usualAfter++;
    }

    /** Returns whether no upstream got more than its limit allows in any window. */
    boolean withinLimits() {
        return ended.stream().allMatch(over -> over.mostInWindow() <= over.allowed());
    }

    /** Returns whether the limits were used, where more was asked for. */
    boolean limitsAreUsed() {
        double seconds = (lastMillis - contactMillis - ended.get(0).namedMillis) / 1_000.0;
        double possible = ended.stream()
                .mapToDouble(over -> Math.min(over.limit, over.usual) * seconds)
                .sum();
        return ended.stream().mapToInt(over -> over.arrived).sum() >= MIN_USED * possible;
    }

    /** Returns the share of callers' requests that an upstream took while limits were named. */
    double takenShare() {
        return (double) taken / sent;
    }

    /** Returns whether upstreams got their usual load again in the seconds after their limits had ended. */
    boolean endIsNoticed(double seconds) {
        double usual = ended.stream().mapToDouble(over -> over.usual).sum();
        return usualAfter >= MIN_USED * usual * seconds;
    }

    @Override
    public String toString() {
        String over = ended.stream()
                .filter(one -> one.mostInWindow() > one.allowed())
                .map(one -> String.format("%d of %.0f at %.1f/s", one.mostInWindow(), one.allowed(), one.limit))
                .limit(5)
                .toList()
                .toString();
        return "over: " + over + " of " + ended.size() + " upstreams; arrived "
                + ended.stream().mapToInt(one -> one.arrived).sum() + "; taken " + taken + " of " + sent + "; after "
                + usualAfter;
    }
}
