package org.cuminspur.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.cuminspur.config.AccountSpec;
import org.cuminspur.config.Priority;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.id.AccountId;
import org.cuminspur.testing.VirtualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks one router's admission: bounds of the queue, refusals at once, priorities, limits. */
public class FairAdmissionTest {
    private static final long HELD_MS = 400;

    private VirtualTime time;
    private List<String> started;
    private List<Refusal> refusals;

    @BeforeMethod
    public void setUp() {
        time = new VirtualTime(1_000);
        started = new ArrayList<>();
        refusals = new ArrayList<>();
    }

    @Test
    public void fullQueueRefusesTheLastRequestOfTheBusiestAccount() {
        FairAdmission admission = admission(1, 2);
        admit(admission, account("a", Priority.NORMAL, 1_000, 1_000), 5, 30_000);
        assertEquals(refusals.size(), 2);
        admit(admission, account("b", Priority.NORMAL, 1_000, 1_000), 1, 30_000);
        assertEquals(refusals.size(), 3);
        time.advance(HELD_MS);
        assertEquals(started, List.of("a", "b"));
        assertTrue(refusals.stream().allMatch(refusal -> refusal.kind() == ErrorKind.OVERLOADED));
    }

    @Test
    public void requestThatCannotStartBeforeItsDeadlineIsRefusedAtOnce() {
        FairAdmission admission = admission(1, 10);
        AccountSpec account = account("a", Priority.NORMAL, 1_000, 1_000);
        admit(admission, account, 1, 30_000);
        time.advance(HELD_MS);
        admit(admission, account, 2, 30_000);
        admit(admission, account, 1, HELD_MS);
        assertEquals(refusals.size(), 1);
        assertTrue(refusals.get(0).retryAfterMillis() >= HELD_MS, refusals.toString());
    }

    @Test
    public void lowPriorityIsServedWhileHighPriorityWaits() {
        FairAdmission admission = admission(new FairAdmission.Capacity(1, 100, 10_000));
        admit(admission, account("high", Priority.HIGH, 1_000, 1_000), 20, 30_000);
        admit(admission, account("low", Priority.LOW, 1_000, 1_000), 20, 30_000);
        time.advance(15 * HELD_MS);
        long low = started.stream().filter("low"::equals).count();
        assertTrue(low >= 3 && low < started.size() / 2, started.toString());
    }

    @Test
    public void accountLimitsHoldAndRefusalsSayWhenToRetry() {
        FairAdmission admission = admission(100, 10);
        admit(admission, account("rate", Priority.NORMAL, 4, 1_000), 5, 30_000);
        assertEquals(refusals, List.of(new Refusal(ErrorKind.ACCOUNT_LIMIT, "", 250)));
        refusals.clear();
        admit(admission, account("concurrent", Priority.NORMAL, 1_000, 3), 4, 30_000);
        assertEquals(refusals.get(0).kind(), ErrorKind.ACCOUNT_LIMIT);
    }

    private FairAdmission admission(int slots, int waiting) {
        return admission(new FairAdmission.Capacity(slots, waiting, 1_000));
    }

    private FairAdmission admission(FairAdmission.Capacity capacity) {
        return new FairAdmission(capacity, new AccountLimiters(), time.clock(), time::schedule);
    }

    private void admit(FairAdmission admission, AccountSpec account, int count, long deadlineInMillis) {
        for (int i = 0; i < count; i++) {
            admission.admit(
                    new Admission.Request(account, account.priority(), time.nowMillis() + deadlineInMillis),
                    reply -> replied(account, reply));
        }
    }

    private void replied(AccountSpec account, Either<Refusal, Admission.Permit> reply) {
        reply.peekLeft(refusals::add);
        reply.peek(permit -> {
            started.add(account.id().value());
            time.schedule(HELD_MS, permit::release);
        });
    }

    private static AccountSpec account(String name, Priority priority, double rate, int concurrent) {
        return new AccountSpec(new AccountId(name), "", priority, rate, concurrent);
    }
}
