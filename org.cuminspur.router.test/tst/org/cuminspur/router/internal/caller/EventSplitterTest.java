package org.cuminspur.router.internal.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that an event stream goes on only where it can be known to continue. */
public class EventSplitterTest {
    private static final String FIRST = "id: 7\ndata: a\n\n";

    private EventSplitter events;

    @BeforeMethod
    public void start() {
        events = new EventSplitter();
    }

    @Test
    public void partOfAnEventIsHeldBackAndDroppedWhenTheStreamIsResumed() {
        assertEquals(take(FIRST + "id: 8\nda"), FIRST);
        assertEquals(events.resumePoint(), OptionalLong.of(7));
        events.expectContinuation();
        assertEquals(take("id: 8\ndata: b\n\n"), "id: 8\ndata: b\n\n");
        assertFalse(events.failed());
    }

    @Test
    public void eventsWithCarriageReturnsAreWhole() {
        String event = "id: 1\r\ndata: a\r\n\r\n";
        assertEquals(take(event), event);
        assertEquals(events.resumePoint(), OptionalLong.of(1));
    }

    @DataProvider
    private static Object[][] otherContinuations() {
        return new Object[][] {{"id: 0\ndata: a\n\n"}, {"id: 7\ndata: a\n\n"}, {"id: 9\ndata: c\n\n"}, {"data: b\n\n"}};
    }

    @Test(dataProvider = "otherContinuations")
    public void streamThatGoesOnElsewhereIsLost(String continuation) {
        take(FIRST);
        events.expectContinuation();
        assertEquals(take(continuation), "");
        assertTrue(events.failed());
    }

    @Test
    public void streamWithoutIdsOrAfterItsEndHasNoResumePoint() {
        take("data: a\n\n");
        assertEquals(events.resumePoint(), OptionalLong.empty());
        take(FIRST + "data: [DONE]\n\n");
        assertTrue(events.endMarkerSeen());
        assertEquals(events.resumePoint(), OptionalLong.empty());
    }

    private String take(String text) {
        return new String(events.feed(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
    }
}
