package org.cuminspur.router.internal.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that a resumed event stream is accepted only if it continues right after the last event received. */
public class EventSplitterTest {
    private static final String FIRST = "id: 7\ndata: a\n\n";

    private EventSplitter events;

    @BeforeMethod
    public void start() {
        events = new EventSplitter();
    }

    @Test
    public void incompleteEventIsDiscardedWhenTheStreamIsResumed() {
        assertEquals(feed(FIRST + "id: 8\nda"), FIRST);
        assertEquals(events.resumePoint(), OptionalLong.of(7));
        events.expectContinuation();
        assertEquals(feed("id: 8\ndata: b\n\n"), "id: 8\ndata: b\n\n");
        assertFalse(events.failed());
    }

    @Test
    public void eventsMayEndInCrLf() {
        String event = "id: 1\r\ndata: a\r\n\r\n";
        assertEquals(feed(event), event);
        assertEquals(events.resumePoint(), OptionalLong.of(1));
    }

    @DataProvider
    private static Object[][] wrongContinuations() {
        return new Object[][] {{"id: 0\ndata: a\n\n"}, {"id: 7\ndata: a\n\n"}, {"id: 9\ndata: c\n\n"}, {"data: b\n\n"}};
    }

    @Test(dataProvider = "wrongContinuations")
    public void streamResumedAtTheWrongEventFails(String continuation) {
        feed(FIRST);
        events.expectContinuation();
        assertEquals(feed(continuation), "");
        assertTrue(events.failed());
    }

    @Test
    public void noResumePointWithoutIdsOrAfterTheEndMarker() {
        feed("data: a\n\n");
        assertEquals(events.resumePoint(), OptionalLong.empty());
        feed(FIRST + "data: [DONE]\n\n");
        assertTrue(events.endMarkerSeen());
        assertEquals(events.resumePoint(), OptionalLong.empty());
    }

    private String feed(String text) {
        return new String(events.feed(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
    }
}
