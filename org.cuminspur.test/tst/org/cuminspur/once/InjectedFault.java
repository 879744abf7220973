package org.cuminspur.once;

import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.cuminspur.testing.once.SimulatedFleet;
import org.cuminspur.testing.once.SimulatedRouter;

/** Faults under which actions must still run at most once; immutable. */
enum InjectedFault {
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

    private static final int MAX_DELIVERIES_BEFORE_FAULT = 12;
    private static final double FAULT_SHARE = 0.4;

    /** Injects the fault. */
    void inject(SimulatedFleet fleet) {
        RandomGenerator random = fleet.random();
        SimulatedRouter target = fleet.randomRouter();
        int delivery = 1 + random.nextInt(MAX_DELIVERIES_BEFORE_FAULT);
        switch (this) {
            case NONE -> {}
            case KILL -> target.process().scheduleFaultBefore(delivery, target.process()::kill);
            case FREEZE -> {
                long[] pauseChoicesMillis = {700, 6_000, 90_000};
                long pauseMillis = pauseChoicesMillis[random.nextInt(pauseChoicesMillis.length)];
                target.process().scheduleFaultBefore(delivery, () -> {
                    target.process().pause();
                    fleet.time().schedule(pauseMillis, target.process()::resume);
                });
            }
            case STORE_REPLY_LOST ->
                routers(fleet).forEach(r -> r.store().faults().replyLossProbability(FAULT_SHARE));
            case STORE_REQUEST_LOST ->
                routers(fleet).forEach(r -> r.store().faults().requestLossProbability(FAULT_SHARE));
            case STORE_WRITE_LATE -> routers(fleet).forEach(r -> r.delayedWriteShare(FAULT_SHARE));
            case STORE_DOWN -> {
                fleet.time().schedule(random.nextLong(1_500), () -> setOutage(fleet, true));
                fleet.time().schedule(30_000 + random.nextLong(150_000), () -> setOutage(fleet, false));
            }
            case UPSTREAM_REFUSES -> fleet.upstream().refusedShare(FAULT_SHARE);
            case UPSTREAM_REQUEST_LOST -> fleet.upstream().lostRequestShare(FAULT_SHARE);
            case UPSTREAM_ANSWER_LOST -> fleet.upstream().lostAnswerShare(FAULT_SHARE);
            case UPSTREAM_LATE -> fleet.upstream().delayedShare(FAULT_SHARE);
            default -> throw new IllegalStateException(name());
        }
    }

    /** Clears all faults; killed routers stay down. */
    static void clearAll(SimulatedFleet fleet) {
        setOutage(fleet, false);
        routers(fleet).forEach(router -> {
            router.process().scheduleFaultBefore(0, () -> {});
            router.process().resume();
            router.store().faults().replyLossProbability(0).requestLossProbability(0);
            router.delayedWriteShare(0);
        });
        fleet.upstream().refusedShare(0);
        fleet.upstream().lostRequestShare(0);
        fleet.upstream().lostAnswerShare(0);
        fleet.upstream().delayedShare(0);
    }

    private static void setOutage(SimulatedFleet fleet, boolean on) {
        routers(fleet).forEach(router -> router.store().faults().outage(on));
    }

    private static Stream<SimulatedRouter> routers(SimulatedFleet fleet) {
        return fleet.routers().stream();
    }
}
