package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cuminspur.event.EventSink;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.platform.PlatformAddress;
import org.cuminspur.standin.users.UsersStore;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreView;
import org.cuminspur.time.Clock;
import org.testng.annotations.Test;

/** Checks what a watch tells when the store keeps changes from it. */
public class PlatformStoreTest {
    /** Longer than one call of a watch waits at the store. */
    private static final long ONE_CALL_MS = 9_500;

    @Test
    public void aCallThatHearsNothingDoesNotMoveTheWatchPastAChange() {
        List<StoreView> told = new CopyOnWriteArrayList<>();
        HttpClient http = new HttpClient(Clock.system(), 1, 400);
        try (UsersStore store = new UsersStore()) {
            PlatformStore platform =
                    new PlatformStore(http, new PlatformAddress("127.0.0.1", store.port()), EventSink.NONE);
            long before = store.put("op/evacuate/a", "{}");
            Store.Watch watch = platform.watch("", before, told::add, () -> {});
            store.switches().deafWatches(true);
            long missed = store.put("op/evacuate/b", "{}");
            Deployment.pause(ONE_CALL_MS);
            assertTrue(told.stream().allMatch(view -> view.revision() < missed), told.toString());
            store.switches().deafWatches(false);
            Deployment.await(
                    "told late",
                    () -> told.stream()
                            .flatMap(view -> view.entries().stream())
                            .anyMatch(entry -> entry.modRevision() == missed));
            watch.close();
        } finally {
            http.close();
        }
        assertEquals(told.get(told.size() - 1).entries().get(0).key(), "op/evacuate/b");
    }
}
