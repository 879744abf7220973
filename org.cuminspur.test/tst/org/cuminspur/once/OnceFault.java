package org.cuminspur.once;

import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.cuminspur.testing.once.OnceFleet;
import org.cuminspur.testing.once.OnceRouter;

/** The faults under which actions must still run at most once; immutable. */
enum OnceFault {
    NONE,
    KILL,
    FREEZE,
    STORE_REPLY_LOST,
    STORE_REQUEST_LOST,
    STORE_WRITE_LATE,
    STORE_DOWN,
    UPSTREAM_REFUSES,
    UPSTREAM_REQUEST_LOST,
    UPSTREAM_ANSWER_LOST,
    UPSTREAM_LATE;

    private static final int STEPS = 12;
    private static final double SHARE = 0.4;

    /** Brings the fault about. */
    void strike(OnceFleet fleet) {
        RandomGenerator random = fleet.random();
        OnceRouter victim = fleet.anyRouter();
        int step = 1 + random.nextInt(STEPS);
        switch (this) {
            case NONE -> {}
            case KILL -> victim.gate().faultBefore(step, victim.gate()::kill);
            case FREEZE -> {
                long[] spans = {700, 6_000, 90_000};
                long span = spans[random.nextInt(spans.length)];
                victim.gate().faultBefore(step, () -> {
                    victim.gate().freeze();
                    fleet.time().after(span, victim.gate()::wake);
                });
            }
            case STORE_REPLY_LOST ->
                routers(fleet).forEach(r -> r.store().faults().lostReplyShare(SHARE));
            case STORE_REQUEST_LOST ->
                routers(fleet).forEach(r -> r.store().faults().lostRequestShare(SHARE));
            case STORE_WRITE_LATE -> routers(fleet).forEach(r -> r.lateWriteShare(SHARE));
            case STORE_DOWN -> {
                fleet.time().after(random.nextLong(1_500), () -> outage(fleet, true));
                fleet.time().after(30_000 + random.nextLong(150_000), () -> outage(fleet, false));
            }
            case UPSTREAM_REFUSES -> fleet.upstream().refusedShare(SHARE);
            case UPSTREAM_REQUEST_LOST -> fleet.upstream().lostRequestShare(SHARE);
            case UPSTREAM_ANSWER_LOST -> fleet.upstream().lostAnswerShare(SHARE);
            case UPSTREAM_LATE -> fleet.upstream().lateShare(SHARE);
            default -> throw new IllegalStateException(name());
        }
    }

    /** Ends all faults but those of routers that were killed. */
    static void heal(OnceFleet fleet) {
        outage(fleet, false);
        routers(fleet).forEach(router -> {
            router.gate().faultBefore(0, () -> {});
            router.gate().wake();
            router.store().faults().lostReplyShare(0).lostRequestShare(0);
            router.lateWriteShare(0);
        });
        fleet.upstream().refusedShare(0);
        fleet.upstream().lostRequestShare(0);
        fleet.upstream().lostAnswerShare(0);
        fleet.upstream().lateShare(0);
    }

    private static void outage(OnceFleet fleet, boolean on) {
        routers(fleet).forEach(router -> router.store().faults().outage(on));
    }

    private static Stream<OnceRouter> routers(OnceFleet fleet) {
        return fleet.routers().stream();
    }
}
