package org.cuminspur.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.Revision;
import org.cuminspur.id.RouteId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.store.StoreEntry;

/** Values shared by the tests of this package; stateless. */
final class TrafficFixtures {
    static final ServiceId MODEL = new ServiceId("model");
    static final SoftwareVersion VERSION = new SoftwareVersion("v1");
    static final FailureDomainId MILANO = new FailureDomainId("milano");
    static final FailureDomainId TORINO = new FailureDomainId("torino");
    static final TrafficBounds BOUNDS = new TrafficBounds(5_000, 2_000, 2_000, 0.2, 52, 10_000, 1.5, 5, 2, 8_000);
    static final ServiceLimits LIMITS = new ServiceLimits(MODEL, 360, 3_000, 14);

    private TrafficFixtures() {}

    static HostRoute route(String host, String prefix) {
        return route(host, prefix, false);
    }

    /** Returns a route whose streams can be resumed. */
    static HostRoute resumableRoute(String host, String prefix) {
        return route(host, prefix, true);
    }

    private static HostRoute route(String host, String prefix, boolean resumable) {
        return new HostRoute(
                new RouteId(host + prefix),
                host,
                prefix,
                RequestKind.STREAM,
                List.of(new WeightedService(MODEL, 1)),
                15_000,
                800,
                1,
                1,
                false,
                true,
                resumable);
    }

    static TrafficConfig config(long revision, HostRoute... routes) {
        return new TrafficConfig(
                new Revision(revision),
                List.of(routes),
                Map.of(MODEL, LIMITS),
                Map.of("key", new ClientAccount(new AccountId("account"), OptionalInt.empty())),
                true,
                new RequestLimits(16_384, 4_194_304, 3_000, 15_000));
    }

    /** Returns a configuration that adds a route and a key of its number and has dropped the key two before. */
    private static TrafficConfig versionedConfig(long revision) {
        ClientAccount account = new ClientAccount(new AccountId("account"), OptionalInt.empty());
        return new TrafficConfig(
                new Revision(revision),
                List.of(route("host", "/"), route("host", addedPrefix(revision))),
                Map.of(MODEL, LIMITS),
                Map.of(key(revision), account, key(revision - 1), account),
                true,
                new RequestLimits(16_384, 4_194_304, 3_000, 15_000));
    }

    /** Returns the prefix of the route that a configuration of {@link #decode} adds. */
    static String addedPrefix(long revision) {
        return "/added-" + revision + "/";
    }

    /** Returns the key that a configuration of {@link #decode} adds, and that the second one after it drops. */
    static String key(long revision) {
        return "key-" + revision;
    }

    static UpstreamEntry upstream(String id, FailureDomainId domain, long remainingWarmupMillis) {
        return new UpstreamEntry(
                new UpstreamId(id), 1, MODEL, "127.0.0.1", 8_080, domain, VERSION, 64, false, remainingWarmupMillis);
    }

    /** Returns the entry of a server of a software version. */
    static UpstreamEntry upstream(String id, long startedMillis, String version) {
        return new UpstreamEntry(
                new UpstreamId(id),
                startedMillis,
                MODEL,
                "127.0.0.1",
                8_080,
                MILANO,
                new SoftwareVersion(version),
                64,
                false,
                0);
    }

    static UpstreamEntry draining(UpstreamEntry entry) {
        return new UpstreamEntry(
                entry.id(),
                entry.startedMillis(),
                entry.service(),
                entry.host(),
                entry.port(),
                entry.domain(),
                entry.version(),
                entry.slots(),
                true,
                entry.remainingWarmupMillis());
    }

    static List<InstanceId> instances(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new InstanceId("instance-" + i))
                .sorted()
                .toList();
    }

    static FleetView view(int instances, UpstreamEntry... entries) {
        Map<UpstreamId, UpstreamEntry> upstreams = new HashMap<>();
        List.of(entries).forEach(entry -> upstreams.put(entry.id(), entry));
        return new FleetView(
                Optional.of(new HostRouteTable(config(1, route("host", "/")))),
                upstreams,
                Set.of(),
                instances(instances),
                Map.of(),
                Map.of());
    }

    static UpstreamEntry[] upstreams(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> upstream("upstream-" + i, i % 2 == 0 ? MILANO : TORINO, 0))
                .toArray(UpstreamEntry[]::new);
    }

    static PromptPlacement.Criteria criteria(long key, UpstreamId... triedUpstreams) {
        return new PromptPlacement.Criteria(
                OptionalLong.of(key), Optional.empty(), Optional.empty(), Set.of(triedUpstreams));
    }

    /** Decodes {@code config/x=N}, {@code upstream/ID=ready|leaving}, {@code empty/DOMAIN} and {@code instance/ID}. */
    static FleetUpdate decode(StoreEntry entry) {
        String[] key = entry.key().split("/", 2);
        boolean removed = entry.value().isEmpty();
        return switch (key[0]) {
            case "config" ->
                removed
                        ? new FleetUpdate.Irrelevant()
                        : new FleetUpdate.ConfigPublished(versionedConfig(Long.parseLong(entry.value())));
            case "upstream" ->
                removed
                        ? new FleetUpdate.UpstreamRemoved(new UpstreamId(key[1]))
                        : upstreamUpdate(key[1], entry.value());
            case "empty" ->
                removed
                        ? new FleetUpdate.DomainRestored(new FailureDomainId(key[1]))
                        : new FleetUpdate.DomainDrained(new FailureDomainId(key[1]));
            case "instance" ->
                removed
                        ? new FleetUpdate.InstanceRemoved(new InstanceId(key[1]))
                        : new FleetUpdate.InstanceRegistered(
                                new InstanceId(key[1]), NetworkAddress.parse(entry.value()));
            case "cuminspur" -> cuminspurUpdate(key[1], entry.value(), removed);
            default -> new FleetUpdate.Irrelevant();
        };
    }

    private static FleetUpdate cuminspurUpdate(String key, String value, boolean removed) {
        if (key.equals("era") && !removed) {
            return new FleetUpdate.EraSettled(Long.parseLong(value));
        }
        if (key.startsWith("versions/") && !removed) {
            return new FleetUpdate.VersionsStored(MODEL, ServedVersions.decode(value));
        }
        return removed
                ? new FleetUpdate.Irrelevant()
                : new FleetUpdate.PromptTableStored(MODEL, PromptTable.decode(value));
    }

    private static FleetUpdate upstreamUpdate(String id, String state) {
        return switch (state) {
            case "ready" -> new FleetUpdate.UpstreamUpdated(upstream(id, MILANO, 0));
            case "leaving" -> new FleetUpdate.UpstreamUpdated(draining(upstream(id, MILANO, 0)));
            default -> new FleetUpdate.Malformed("state " + state);
        };
    }

    static List<UpstreamState> modelUpstreams(UpstreamPool pool) {
        return new ArrayList<>(pool.upstreams(MODEL));
    }
}
