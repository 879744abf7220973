package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.List;
import java.util.stream.Stream;
import org.cuminspur.config.ConfigFault;
import org.cuminspur.router.TrafficSettings;
import org.cuminspur.router.TrafficSettingsParser;
import org.cuminspur.standin.users.InstanceSettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the settings that the platform fills in: a missing key is reported with its file. */
public class MainTest {
    private static final String COMPLETE_SETTINGS = InstanceSettings.text("router-1", "a", 8_001, 8_002, 8_003, 8_004);

    @Test
    public void readsSettingsOfThePlatform() {
        TrafficSettings settings =
                TrafficSettingsParser.parse("f", COMPLETE_SETTINGS).get();
        assertEquals(settings.callers().port(), 8_001);
        assertEquals(settings.bounds().retrySlack(), 52.0);
    }

    @DataProvider
    public Object[][] requiredKeys() {
        return Stream.of("name", "domain", "callers", "readiness", "address")
                .map(key -> new Object[] {key})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "requiredKeys")
    public void reportsMissingKeyWithItsFile(String key) {
        String incomplete = String.join(
                "\n",
                COMPLETE_SETTINGS
                        .lines()
                        .filter(line -> !line.startsWith(key + " ="))
                        .toList());
        Either<List<ConfigFault>, TrafficSettings> parsed = TrafficSettingsParser.parse("settings.ini", incomplete);
        assertTrue(parsed.isLeft());
        assertEquals(parsed.getLeft().size(), 1);
        String fault = parsed.getLeft().get(0).toString();
        assertTrue(fault.startsWith("settings.ini:") && fault.contains(key), fault);
    }
}
