package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.Optional;
import java.util.OptionalLong;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.ratelimit.NamedLimit;
import org.cuminspur.traffic.ForwardMetadata;
import org.cuminspur.traffic.PromptDescription;
import org.cuminspur.traffic.RequestMetadata;
import org.cuminspur.traffic.UpstreamEntry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the headers that are added to requests to servers. */
public class PlatformHeadersTest {
    private static final RequestMetadata REQUEST = new RequestMetadata(
            "id", Optional.empty(), OptionalLong.empty(), PromptDescription.NONE, Optional.empty(), Optional.empty());

    @Test
    public void namesAddressOfCacheSource() {
        UpstreamEntry source = new UpstreamEntry(
                new UpstreamId("old"),
                1,
                new ServiceId("model"),
                "127.0.0.1",
                8_080,
                new FailureDomainId("zone"),
                new SoftwareVersion("v1"),
                64,
                true,
                0);
        assertEquals(encodedHeaders(Optional.of(source)).getFirst("Kv-Fetch"), "127.0.0.1:8080");
        assertFalse(encodedHeaders(Optional.empty()).contains("Kv-Fetch"));
    }

    @DataProvider
    public Object[][] limits() {
        return new Object[][] {
            {"2.5", 2.5},
            {" 30 ", 30},
            {"0", 0},
            {".5", 0.5},
            {"7.", 7},
            {"-1", Double.NaN},
            {"", Double.NaN},
            {"many", Double.NaN},
            {"1e9", Double.NaN},
            {"999999999999", Double.NaN},
            {"NaN", Double.NaN},
            {"1,5", Double.NaN}
        };
    }

    @Test(dataProvider = "limits")
    public void decodesTheLimitThatAServerNames(String text, double expected) {
        HeaderMap headers = new HeaderMap();
        headers.put(new HttpString("Server-Limit"), text);
        Optional<NamedLimit> limit =
                new PlatformHeaders().decodeAnswer(200, headers).limit();
        assertEquals(limit.map(NamedLimit::requestsPerSecond), Optional.of(expected));
        assertEquals(new PlatformHeaders().decodeAnswer(200, new HeaderMap()).limit(), Optional.empty());
    }

    private static HeaderMap encodedHeaders(Optional<UpstreamEntry> cacheSource) {
        HeaderMap headers = new HeaderMap();
        ForwardMetadata forward =
                new ForwardMetadata(1_000, new UpstreamId("new"), Optional.empty(), 5, Optional.empty(), cacheSource);
        new PlatformHeaders().encodeSend(headers, REQUEST, forward);
        return headers;
    }
}
