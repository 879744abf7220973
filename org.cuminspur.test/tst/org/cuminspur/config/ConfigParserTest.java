package org.cuminspur.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Checks that operators' files are read, and that their faults are reported. */
public class ConfigParserTest {
    private static final String HASH = "0".repeat(64);

    @Test
    public void wholeFileIsRead() {
        FleetConfig config = ConfigParser.parse(Map.of(
                        "a.ini",
                        "[service stock]\nkind = plain\n[route stock]\nservice = stock\npath = /stock\ndeadline = 2s\n"
                                + "[account desk]\nkey-sha256 = " + HASH + "\n[domain a]\nregion = north\n"))
                .get();
        assertEquals(config.routes().values().iterator().next().deadlineMillis(), 2_000);
        assertEquals(
                config.services().size()
                        + config.accounts().size()
                        + config.domains().size(),
                3);
    }

    @Test
    public void everyFaultIsReportedWithFileLineAndKey() {
        String text = "[service stock]\nkind = plain\nslots = many\ncolour = blue\n[route stock]\nservice = shop\n"
                + "path = /stock\ndeadline = 2 fortnights\n[service stock]\n";
        List<String> faults = ConfigParser.parse(Map.of("a.ini", text)).getLeft().stream()
                .map(fault -> fault.file() + ":" + fault.line() + " " + fault.key())
                .toList();
        assertEquals(
                faults,
                List.of(
                        "a.ini:3 service stock.slots",
                        "a.ini:4 service stock.colour",
                        "a.ini:8 route stock.deadline",
                        "a.ini:9 service stock",
                        "a.ini:6 route stock.service"));
    }

    @Test
    public void accountsMayNotShareAKey() {
        String text = "[account a]\nkey-sha256 = " + HASH + "\n[account b]\nkey-sha256 = " + HASH + "\n";
        List<ConfigFault> faults = ConfigParser.parse(Map.of("a.ini", text)).getLeft();
        assertTrue(faults.get(0).message().contains("too"), faults.toString());
    }
}
