package org.cuminspur.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminspur.config.AccountSpec;
import org.cuminspur.config.Priority;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.internal.hash.Rendezvous;
import org.cuminspur.publish.Backoff;
import org.cuminspur.publish.Publisher;
import org.cuminspur.testing.SimulatedControlFleet;
import org.cuminspur.testing.SimulatedControlRouter;
import org.cuminspur.testing.SimulatedStore;

/**
 * Sends requests of several accounts through the admission of every router of a fleet under virtual time.
 *
 * <p>Used by one thread. Equal seeds and calls give equal runs.
 */
final class AdmissionSimulation {
    static final long DEADLINE_MS = 30_000;

    /** What happened to one request. */
    static final class Request {
        final AccountId account;
        final long arrivedMillis;
        long repliedMillis = -1;
        long endedMillis = -1;
        int replies;
        boolean served;

        Request(AccountId account, long arrivedMillis) {
            this.account = account;
            this.arrivedMillis = arrivedMillis;
        }
    }

    private final SimulatedControlFleet fleet;
    private final RandomGenerator random;
    private final Map<AccountId, AccountSpec> accounts = new TreeMap<>();
    private final Map<InstanceId, Admission> admissions = new TreeMap<>();
    private final List<Request> requests = new ArrayList<>();
    private final Function<SimulatedControlRouter, Admission> admissionFactory;

    AdmissionSimulation(
            long seed,
            int routers,
            Function<AdmissionSimulation, Function<SimulatedControlRouter, Admission>> admissionFactory) {
        fleet = new SimulatedControlFleet(seed);
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        this.admissionFactory = admissionFactory.apply(this);
        fleet.startRouters(routers, List.of("milano", "torino", "verona"));
    }

    SimulatedControlFleet fleet() {
        return fleet;
    }

    List<Request> requests() {
        return requests;
    }

    AccountSpec account(String name) {
        return accounts.get(new AccountId(name));
    }

    /** Returns a factory of the fair admission under test. */
    static Function<AdmissionSimulation, Function<SimulatedControlRouter, Admission>> fairAdmission(
            FairAdmission.Capacity capacity) {
        return simulation -> router -> new FairAdmission(
                capacity,
                router.core().accountLimiters(),
                simulation.fleet.time().clock(),
                (millis, action) -> simulation.fleet.time().schedule(millis, action));
    }

    AdmissionSimulation withAccount(String name, Priority priority, double rate, int concurrent) {
        AccountId id = new AccountId(name);
        accounts.put(id, new AccountSpec(id, String.format("%064x", accounts.size()), priority, rate, concurrent));
        return this;
    }

    /** Publishes the accounts and waits until they are in force. */
    AdmissionSimulation publish() {
        fleet.advance(1_000);
        String text = accounts.values().stream()
                .map(account -> String.join(
                        "\n",
                        "[account " + account.id() + "]",
                        "key-sha256 = " + account.keySha256(),
                        "priority = " + account.priority().name().toLowerCase(java.util.Locale.ROOT),
                        "rate = " + account.requestsPerSecond(),
                        "concurrent = " + account.concurrent()))
                .collect(Collectors.joining("\n"));
        SimulatedStore store = new SimulatedStore(
                fleet.time(),
                fleet.random(),
                fleet.storeTable(),
                fleet.router("router-0").store().faults());
        Backoff backoff = new Backoff(fleet.time().clock(), fleet.time()::schedule, fleet.random(), 4_000);
        new Publisher(store, "publication", Map.of("accounts.ini", text), Set.of(), backoff, result -> {}).start();
        fleet.advance(4_000);
        return this;
    }

    /** Offers an account's requests for a time, as a Poisson process, to live routers that match {@code to}. */
    void offerLoad(
            String account,
            double perSecond,
            long holdMillis,
            long durationMillis,
            Predicate<SimulatedControlRouter> to) {
        long endMillis = fleet.time().nowMillis() + durationMillis;
        scheduleNext(account(account), perSecond, holdMillis, fleet.time().nowMillis(), endMillis, to);
    }

    /** Returns the router that allocates the limit of an account. */
    String allocatingRouterOf(String account) {
        long key = Rendezvous.hash(account);
        return fleet.routers()
                .map(router -> router.id().value())
                .max(java.util.Comparator.comparingDouble(id -> Rendezvous.score(key, Rendezvous.hash(id), 1)))
                .orElseThrow();
    }

    /** Matches the routers numbered from {@code from} up to but excluding {@code to}. */
    static Predicate<SimulatedControlRouter> routersInRange(int from, int to) {
        Set<String> names =
                IntStream.range(from, to).mapToObj(i -> "router-" + i).collect(Collectors.toSet());
        return router -> names.contains(router.id().value());
    }

    private void scheduleNext(
            AccountSpec account,
            double perSecond,
            long holdMillis,
            double previousMillis,
            long endMillis,
            Predicate<SimulatedControlRouter> to) {
        double arrivalMillis = previousMillis - Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
        if (arrivalMillis < endMillis) {
            fleet.time().schedule((long) arrivalMillis - fleet.time().nowMillis(), () -> {
                scheduleNext(account, perSecond, holdMillis, arrivalMillis, endMillis, to);
                sendRequest(account, holdMillis, to);
            });
        }
    }

    private void sendRequest(AccountSpec account, long holdMillis, Predicate<SimulatedControlRouter> to) {
        List<SimulatedControlRouter> serving =
                fleet.routers().filter(router -> !router.isFrozen()).filter(to).toList();
        if (serving.isEmpty()) {
            return;
        }
        SimulatedControlRouter router = serving.get(random.nextInt(serving.size()));
        Request request = new Request(account.id(), fleet.time().nowMillis());
        requests.add(request);
        long heldMillis = Math.round(holdMillis * (0.5 + random.nextDouble()));
        admissions
                .computeIfAbsent(router.id(), id -> admissionFactory.apply(router))
                .admit(
                        new Admission.Request(account, account.priority(), request.arrivedMillis + DEADLINE_MS),
                        reply -> {
                            request.replies++;
                            request.repliedMillis = fleet.time().nowMillis();
                            request.served = reply.isRight();
                            reply.peek(permit -> fleet.time().schedule(heldMillis, () -> {
                                request.endedMillis = fleet.time().nowMillis();
                                permit.release();
                            }));
                        });
    }
}
