package org.cuminspur.config;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.RouteId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.internal.ini.IniReader;
import org.cuminspur.internal.ini.IniSection;
import org.cuminspur.internal.ini.SectionParser;

/**
 * Checks operators' files and merges them into one configuration.
 *
 * <p>Reports every fault rather than the first. Not thread-safe; one parser serves one call.
 */
public final class ConfigParser {
    private static final long MAX_DEADLINE_MS = 600_000;
    private static final long MAX_RAMP_MS = 3_600_000;

    private record Location(String file, IniSection section) {}

    private final List<ConfigFault> faults = new ArrayList<>();
    private final Map<String, Location> locations = new HashMap<>();
    private final Map<ServiceId, ServiceSpec> services = new LinkedHashMap<>();
    private final Map<RouteId, RouteSpec> routes = new LinkedHashMap<>();
    private final Map<AccountId, AccountSpec> accounts = new LinkedHashMap<>();
    private final Map<FailureDomainId, DomainSpec> domains = new LinkedHashMap<>();
    private final Map<String, Consumer<SectionParser>> sectionParsers = Map.of(
            "service", this::parseService,
            "route", this::parseRoute,
            "account", this::parseAccount,
            "domain", this::parseDomain);

    private ConfigParser() {}

    /** Returns the merged configuration of {@code files} (name to text), or all faults found. */
    public static Either<List<ConfigFault>, FleetConfig> parse(Map<String, String> files) {
        ConfigParser parser = new ConfigParser();
        new TreeMap<>(files).forEach(parser::parseFile);
        parser.checkReferences();
        return parser.faults.isEmpty()
                ? Either.right(new FleetConfig(parser.services, parser.routes, parser.accounts, parser.domains))
                : Either.left(List.copyOf(parser.faults));
    }

    private void parseFile(String name, String text) {
        IniReader.read(name, text, faults).forEach(section -> parseSection(name, section));
    }

    private void parseSection(String file, IniSection section) {
        String heading = section.kind() + " " + section.name();
        Consumer<SectionParser> sectionParser = sectionParsers.get(section.kind());
        if (sectionParser == null || section.name().isEmpty()) {
            addFault(
                    new Location(file, section),
                    "",
                    "expected [service NAME], [route NAME], [account NAME] or [domain NAME]");
            return;
        }
        Location earlier = locations.putIfAbsent(heading, new Location(file, section));
        if (earlier != null) {
            addFault(
                    new Location(file, section),
                    "",
                    "is already defined at " + earlier.file() + ":"
                            + earlier.section().line());
            return;
        }
        SectionParser parser = new SectionParser(file, section, faults);
        sectionParser.accept(parser);
        parser.reportUnknownKeys();
    }

    private void parseService(SectionParser in) {
        ServiceId id = new ServiceId(in.name());
        services.put(
                id,
                new ServiceSpec(
                        id,
                        in.choice("kind", ServiceKind.ENGINE),
                        in.decimal("load-bound", 1.25, 1.01, 10),
                        (int) in.number("slots", 16, 1, 4_096),
                        (int) in.number("cold-allowance", 2, 1, 4_096),
                        in.duration("ramp", 30_000, 100, MAX_RAMP_MS),
                        new Objective(
                                in.share("objective", 0.95),
                                in.duration("first-token", 580, 1, MAX_DEADLINE_MS),
                                in.duration("between-tokens", 42, 1, MAX_DEADLINE_MS))));
    }

    private void parseRoute(SectionParser in) {
        RouteId id = new RouteId(in.name());
        String service = in.required("service");
        String path = in.required("path");
        if (!path.isEmpty() && !path.startsWith("/")) {
            in.fault("path", "expected a path that starts with '/', found '" + path + "'");
        }
        Set<AccountId> allowed =
                in.list("accounts").stream().map(AccountId::new).collect(Collectors.toSet());
        RouteSpec route = new RouteSpec(
                id,
                new ServiceId(service.isEmpty() ? "missing" : service),
                in.text("method", "*"),
                path,
                in.text("model", ""),
                in.flag("idempotent", true),
                in.text("idempotency-header", "Idempotency-Key"),
                in.choice("priority", Priority.NORMAL),
                in.duration("deadline", 60_000, 1, MAX_DEADLINE_MS),
                allowed);
        routes.put(id, route);
    }

    private void parseAccount(SectionParser in) {
        AccountId id = new AccountId(in.name());
        String hash = in.required("key-sha256");
        if (!hash.isEmpty() && !hash.matches("[0-9a-f]{64}")) {
            in.fault("key-sha256", "expected 64 lower-case hexadecimal digits");
        }
        accounts.put(
                id,
                new AccountSpec(
                        id,
                        hash,
                        in.choice("priority", Priority.NORMAL),
                        in.decimal("rate", 100, 0.01, 1_000_000),
                        (int) in.number("concurrent", 100, 1, 1_000_000)));
    }

    private void parseDomain(SectionParser in) {
        FailureDomainId id = new FailureDomainId(in.name());
        domains.put(id, new DomainSpec(id, in.required("region")));
    }

    private void checkReferences() {
        routes.values().forEach(this::checkRoute);
        Map<String, AccountId> owners = new HashMap<>();
        accounts.values().forEach(account -> checkKey(account, owners));
    }

    private void checkRoute(RouteSpec route) {
        Location location = locations.get("route " + route.id());
        if (!services.containsKey(route.service())
                && location.section().entry("service").isPresent()) {
            addFault(location, "service", "no service of that name is published: '" + route.service() + "'");
        }
        route.accounts().stream()
                .filter(account -> !accounts.containsKey(account))
                .sorted()
                .forEach(account ->
                        addFault(location, "accounts", "no account of that name is published: '" + account + "'"));
    }

    private void checkKey(AccountSpec account, Map<String, AccountId> owners) {
        AccountId owner = account.keySha256().isEmpty() ? null : owners.putIfAbsent(account.keySha256(), account.id());
        if (owner != null) {
            addFault(locations.get("account " + account.id()), "key-sha256", "is the key of account " + owner + " too");
        }
    }

    private void addFault(Location location, String key, String message) {
        IniSection section = location.section();
        int line = section.entry(key).map(entry -> entry.line()).orElse(section.line());
        String heading = (section.kind() + " " + section.name()).strip();
        faults.add(new ConfigFault(location.file(), line, key.isEmpty() ? heading : heading + "." + key, message));
    }
}
