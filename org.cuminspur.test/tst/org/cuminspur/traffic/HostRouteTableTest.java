package org.cuminspur.traffic;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks which route is selected for a request. */
public class HostRouteTableTest {
    private final HostRouteTable table = new HostRouteTable(TrafficFixtures.config(
            1,
            TrafficFixtures.route("a.example", "/x/"),
            TrafficFixtures.route("a.example", "/x/y/"),
            TrafficFixtures.route("b.example", "/")));

    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"a.example", "/x/1", "a.example/x/"},
            {"a.example", "/x/y/1", "a.example/x/y/"},
            {"A.Example:8080", "/x/y/", "a.example/x/y/"},
            {"a.example", "/x", ""},
            {"a.example", "/xy/", ""},
            {"b.example", "/x/y/", "b.example/"},
            {"c.example", "/x/", ""},
        };
    }

    @Test(dataProvider = "requests")
    public void longestMatchingPrefixOfTheHostWins(String host, String path, String expected) {
        Optional<String> found = table.route(host, path).map(route -> route.id().value());
        assertEquals(found.orElse(""), expected);
    }
}
