package org.cuminspur.placement;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.cuminspur.config.Objective;
import org.cuminspur.config.ServiceKind;
import org.cuminspur.config.ServiceSpec;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.routing.Placement;
import org.cuminspur.routing.UpstreamSet;
import org.cuminspur.routing.UpstreamTracker;
import org.cuminspur.routing.UpstreamView;
import org.testng.annotations.Test;

/** Checks that placement moves chats away from upstreams that spill or are full, and follows weights. */
public class BoundedLoadTest {
    private static final int CHATS = 20_000;
    private static final ServiceSpec SERVICE = new ServiceSpec(
            new ServiceId("assistant"), ServiceKind.ENGINE, 1.25, 128, 8, 30_000, new Objective(0.99, 580, 42));

    @Test
    public void spillMovesOnlyItsShareOfTheHotUpstreamsChats() {
        UpstreamSet calm = set(14, 0);
        UpstreamSet hot = set(14, 0.3);
        long moved = 0;
        long owned = 0;
        for (long chat = 0; chat < CHATS; chat++) {
            String before = place(calm, chat);
            String after = place(hot, chat);
            boolean hotOwner = before.equals("engine-0");
            owned += hotOwner ? 1 : 0;
            moved += hotOwner && !after.equals(before) ? 1 : 0;
            assertTrue(hotOwner || after.equals(before), "a chat of a calm upstream moved");
        }
        double share = (double) moved / owned;
        assertTrue(share > 0.25 && share < 0.35, "moved " + share);
    }

    @Test
    public void chatIsServedWhenEveryUpstreamSpillsIt() {
        UpstreamView only = view("engine-0", 1, 1);
        assertTrue(Placement.place(new UpstreamSet(SERVICE, only), 1, Set.of()).isPresent());
    }

    @Test
    public void noUpstreamGetsMoreThanItsSlots() {
        UpstreamSet set = set(6, 0);
        List<UpstreamView> started = new ArrayList<>();
        for (long chat = 0; chat < CHATS; chat++) {
            Placement.place(set, chat, Set.of()).ifPresent(started::add);
        }
        assertTrue(set.views().allMatch(view -> view.tracker().inProgress() == SERVICE.slots()));
        assertTrue(started.size() == 6 * SERVICE.slots(), "started " + started.size());
    }

    @Test
    public void weightsMoveSharesInProportion() {
        UpstreamSet set = new UpstreamSet(SERVICE, view("engine-0", 2, 0), view("engine-1", 1, 0));
        long first = IntStream.range(0, CHATS)
                .filter(chat -> place(set, chat).equals("engine-0"))
                .count();
        assertTrue(Math.abs(first - CHATS * 2.0 / 3) < CHATS * 0.02, "first " + first);
    }

    private static String place(UpstreamSet set, long chat) {
        UpstreamView view = Placement.place(set, chat, Set.of()).orElseThrow();
        view.tracker().end(true);
        return view.id().value();
    }

    private static UpstreamSet set(int size, double spillOfFirst) {
        return new UpstreamSet(
                SERVICE,
                IntStream.range(0, size)
                        .mapToObj(i -> view("engine-" + i, 1, i == 0 ? spillOfFirst : 0))
                        .toArray(UpstreamView[]::new));
    }

    private static UpstreamView view(String name, double weight, double spill) {
        return new UpstreamView(
                new UpstreamId(name),
                "127.0.0.1",
                1,
                new FailureDomainId("milano"),
                weight,
                Integer.MAX_VALUE,
                spill,
                new UpstreamTracker());
    }
}
