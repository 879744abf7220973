package org.cuminspur.soak.internal;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminspur.soak.internal.History.Change;
import org.cuminspur.soak.internal.History.Fault;
import org.cuminspur.soak.internal.History.Said;
import org.cuminspur.soak.internal.History.Serving;
import org.cuminspur.standin.users.CutLink;
import org.cuminspur.standin.users.StandinStore;
import org.cuminspur.standin.users.StandinStoreFaults;
import org.cuminspur.testing.KeyValueTable;

/**
 * The instances, their store and their upstreams, to which the steps of a plan are done; thread-safe.
 *
 * <p>A step ends by itself after its time. Where two steps of one kind overlap on one target, the first end ends both.
 */
final class SoakFleet implements AutoCloseable {
    /** Enough that three versions of two upstreams each may serve at a time. */
    private static final int MODELS = 6;

    private static final int VERSIONS = 3;
    private static final int APPS = 3;
    private static final long SLOW_STORE_MS = 250;

    /** Time that an upstream serves on after it said that it leaves; as long as requests may still reach it. */
    private static final long SERVE_ON_MS = Checks.LEAVE_MS + 1_500;

    /** Time until an upstream that ended by itself is back, and until its entry is gone. */
    private static final long DOWN_MS = 2_000;

    private static final long LEASE_MS = 2_500;

    /** Copies that the store may come back from, and the time between them. */
    private static final int MAX_COPIES = 10;

    private static final long COPY_INTERVAL_MS = 500;
    private static final int MAX_AWAY_MS = 700;
    private static final long MAX_REWRITE_MS = 1_000;

    /** Factor on the time of steps the bounds of whose checks begin some seconds after them. */
    private static final int LONG_FACTOR = 4;

    /** Factor on the time of cuts, since callers need not be served in their first seconds. */
    private static final int CUT_FACTOR = 2;

    private static final List<CutLink.Mode> CUT_MODES =
            List.of(CutLink.Mode.HANG, CutLink.Mode.REFUSE, CutLink.Mode.RESET, CutLink.Mode.LIVE_ON);

    private static final Map<Plan.Kind, SoakUpstream.Mode> UPSTREAM_MODES = Map.of(
            Plan.Kind.UPSTREAM_SLOW, SoakUpstream.Mode.SLOW,
            Plan.Kind.UPSTREAM_ERRORS, SoakUpstream.Mode.ERRORS,
            Plan.Kind.UPSTREAM_LOSES_ANSWERS, SoakUpstream.Mode.LOSES_ANSWERS,
            Plan.Kind.UPSTREAM_GARBLES, SoakUpstream.Mode.GARBLES,
            Plan.Kind.UPSTREAM_EXTRA_ANSWERS, SoakUpstream.Mode.EXTRA_ANSWERS,
            Plan.Kind.UPSTREAM_FULL, SoakUpstream.Mode.FULL,
            Plan.Kind.UPSTREAM_TURNS_AWAY, SoakUpstream.Mode.TURNS_AWAY);

    private static final Map<Plan.Kind, FaultProxy.Mode> LINK_MODES = Map.of(
            Plan.Kind.CALLERS_RESET, FaultProxy.Mode.RESET,
            Plan.Kind.CALLERS_SILENT, FaultProxy.Mode.SILENT,
            Plan.Kind.STORE_LINK_SILENT, FaultProxy.Mode.SILENT,
            Plan.Kind.STORE_LINK_RESET, FaultProxy.Mode.RESET,
            Plan.Kind.STORE_LINK_ONE_WAY, FaultProxy.Mode.ONE_WAY,
            Plan.Kind.STORE_LINK_SLOW, FaultProxy.Mode.SLOW,
            Plan.Kind.UPSTREAM_SILENT, FaultProxy.Mode.SILENT,
            Plan.Kind.UPSTREAM_RESET, FaultProxy.Mode.RESET);

    private final History history;
    private final StandinStore store = new StandinStore(1);
    private final Deque<KeyValueTable.Copy> copies = new ArrayDeque<>();
    private final Operator operator;
    private final List<RouterProcess> instances = new ArrayList<>();
    private final List<SoakUpstream> models = new CopyOnWriteArrayList<>();
    private final List<SoakUpstream> apps = new CopyOnWriteArrayList<>();
    private final List<SoakUpstream> left = new CopyOnWriteArrayList<>();
    private final List<String> domains;
    private final ScheduledExecutorService later = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "soak-steps");
        thread.setDaemon(true);
        return thread;
    });
    private final CrashCause crashingPart = CrashCause.part();
    private final CrashCause crashingRequest = CrashCause.request();
    private final SoakRollout rollout;
    private int released;
    private int crashCauses;

    SoakFleet(int size, List<String> domains, List<String> command, Path folder, History history) throws IOException {
        this.history = history;
        this.domains = domains;
        operator = new Operator(store, history, SoakCaller.PATIENCE_MS);
        rollout = new SoakRollout(operator, history, later, new SoakRollout.Upstreams() {
            @Override
            public SoakUpstream start(int number, String version) {
                return upstream("app-" + version + "-" + number, Operator.APP, number, version, 0);
            }

            @Override
            public void replaceAll(List<SoakUpstream> target) {
                replaceApps(target);
            }

            @Override
            public void release(List<SoakUpstream> target) {
                target.forEach(upstream -> leave(upstream, Operator.APP));
            }
        });
        later.scheduleAtFixedRate(this::keepCopy, 0, COPY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        for (int i = 0; i < MODELS; i++) {
            models.add(upstream("model-" + i, Operator.MODEL, i, version(i), 0));
        }
        for (int i = 0; i < APPS; i++) {
            apps.add(upstream("app-" + i, Operator.APP, i, version(0), 0));
        }
        for (int i = 0; i < size; i++) {
            String domain = domains.get(i % domains.size());
            instances.add(new RouterProcess("router-" + i, domain, command, store, folder));
        }
    }

    Operator operator() {
        return operator;
    }

    CrashCause crashingPart() {
        return crashingPart;
    }

    CrashCause crashingRequest() {
        return crashingRequest;
    }

    List<RouterProcess> instances() {
        return List.copyOf(instances);
    }

    /** Begins a step and plans its end. */
    void apply(Plan.Step step) {
        RouterProcess instance = instances.get(step.index() % instances.size());
        switch (step.kind()) {
            case INSTANCE_STOP -> signal(instance, Plan.STOP, "TERM", step);
            case INSTANCE_KILL -> signal(instance, "kill", "KILL", step);
            case INSTANCE_PAUSE -> pause(instance, step);
            case INSTANCE_CUT -> cutOff(instance, step);
            case ALL_KILLED -> instances.forEach(one -> signal(one, "kill", "KILL", step));
            case CALLERS_RESET, CALLERS_SILENT -> link(instance.callersLink(), instance.name(), step);
            case STORE_LINK_SILENT, STORE_LINK_RESET, STORE_LINK_ONE_WAY, STORE_LINK_SLOW ->
                link(instance.storeLink(), instance.name(), step);
            case UPSTREAM_SILENT, UPSTREAM_RESET ->
                link(upstream(step).link(), upstream(step).id(), step);
            case UPSTREAM_LIMITED -> limit(upstream(step), step);
            case UPSTREAM_RELEASE -> release(step);
            case ROLLOUT -> rollout.begin(step);
            case DOMAIN_EMPTIED -> empty(domains.get(step.index() % domains.size()), step);
            case KEYS_CHANGE -> operator.changeKeys();
            case STORE_RETURNS -> returnFromCopy(step);
            case CRASHING_PART -> crashUpstreams(crashingPart, step);
            case CRASHING_REQUEST -> crashUpstreams(crashingRequest, step);
            case ODD_ENTRY -> writeOddEntry(step);
            case STORE_REFUSES, STORE_SILENT, STORE_SLOW, STORE_LOSES_REPLIES, STORE_FORGETS, STORE_WATCHES_DEAF ->
                store(step);
            default -> spoil(upstream(step), step);
        }
    }

    @Override
    public void close() throws InterruptedException {
        later.shutdownNow();
        for (RouterProcess instance : instances) {
            instance.close();
        }
        List.of(models, apps, left).forEach(list -> list.forEach(SoakUpstream::close));
        store.close();
    }

    private void signal(RouterProcess instance, String kind, String signal, Plan.Step step) {
        // The process that starts in its place is disturbed until it serves.
        fault(kind, instance.name(), step.kind() == Plan.Kind.INSTANCE_STOP ? Plan.STOP_MS : Plan.RESTART_MS);
        instance.signal(signal);
    }

    private void pause(RouterProcess instance, Plan.Step step) {
        fault("pause", instance.name(), step.forMillis());
        instance.signal("STOP");
        after(step, () -> instance.signal("CONT"));
    }

    /** Cuts an instance, or each second time its failure domain, off from all upstreams. */
    private void cutOff(RouterProcess instance, Plan.Step step) {
        CutLink.Mode mode = CUT_MODES.get(step.index() / 2 % CUT_MODES.size());
        long millis = CUT_FACTOR * step.forMillis();
        instances.stream()
                .filter(one -> one == instance
                        || (step.index() % 2 == 0 && one.domain().equals(instance.domain())))
                .forEach(one -> {
                    fault(step.kind().name(), one.name(), millis);
                    one.upstreamLinks().mode(mode);
                    later.schedule(() -> one.upstreamLinks().mode(CutLink.Mode.WHOLE), millis, TimeUnit.MILLISECONDS);
                });
    }

    private void link(FaultProxy link, String target, Plan.Step step) {
        fault(step.kind().name(), target, step.forMillis());
        link.mode(LINK_MODES.get(step.kind()));
        after(step, () -> link.mode(FaultProxy.Mode.WHOLE));
    }

    private void spoil(SoakUpstream upstream, Plan.Step step) {
        upstream.mode(UPSTREAM_MODES.get(step.kind()));
        after(step, () -> upstream.mode(SoakUpstream.Mode.SOUND));
    }

    private void store(Plan.Step step) {
        fault(step.kind().name(), "", step.forMillis());
        StandinStoreFaults switches = store.faults();
        switch (step.kind()) {
            case STORE_REFUSES -> switches.mode(StandinStoreFaults.Mode.REFUSING);
            case STORE_SILENT -> switches.mode(StandinStoreFaults.Mode.SILENT);
            case STORE_SLOW -> switches.delayMillis(SLOW_STORE_MS);
            case STORE_LOSES_REPLIES -> switches.loseReplies(1 + step.index() % 3);
            case STORE_FORGETS -> switches.compactHistory(store.revision().number());
            default -> switches.silentWatches(true);
        }
        after(step, () -> {
            switches.mode(StandinStoreFaults.Mode.UP);
            switches.delayMillis(0);
            switches.silentWatches(false);
        });
    }

    private synchronized void keepCopy() {
        copies.addLast(store.copy());
        if (copies.size() > MAX_COPIES) {
            copies.removeFirst();
        }
    }

    /** Lets the store come back, after a moment, from a copy; operators and upstreams then write again. */
    private void returnFromCopy(Plan.Step step) {
        long awayMillis = step.index() % MAX_AWAY_MS;
        long writeMillis = step.forMillis() % MAX_REWRITE_MS;
        fault(step.kind().name(), "", awayMillis + writeMillis);
        store.faults().mode(StandinStoreFaults.Mode.REFUSING);
        later.schedule(
                () -> {
                    restore(step.index());
                    store.faults().mode(StandinStoreFaults.Mode.UP);
                    later.schedule(operator::writeAgain, writeMillis, TimeUnit.MILLISECONDS);
                },
                awayMillis,
                TimeUnit.MILLISECONDS);
    }

    private synchronized void restore(int index) {
        KeyValueTable.Copy copy = List.copyOf(copies).get(index % copies.size());
        copies.clear();
        copies.add(copy);
        store.restore(copy);
    }

    /** Starts an upstream in place of another one, which says that it leaves and serves on for a while. */
    private synchronized void release(Plan.Step step) {
        List<SoakUpstream> service = step.index() % 2 == 0 ? models : apps;
        String name = service == models ? Operator.MODEL : Operator.APP;
        if (service.isEmpty()) {
            // All have crashed, and those that take their places have not started yet.
            return;
        }
        SoakUpstream old = service.remove(0);
        long coldMillis = service == models ? Checks.COLD_MS : 0;
        service.add(upstream(name + "-new-" + released, name, released, version(++released), coldMillis));
        leave(old, name);
    }

    private void leave(SoakUpstream old, String service) {
        left.add(old);
        old.leaves();
        operator.announce(old, service, true, 0);
        later.schedule(() -> operator.forget(old), SERVE_ON_MS, TimeUnit.MILLISECONDS);
    }

    /** Stops all upstreams of the plain service at once, without draining, but for those of the version that took over. */
    private synchronized void replaceApps(List<SoakUpstream> target) {
        List<SoakUpstream> stopped = List.copyOf(apps);
        apps.clear();
        apps.addAll(target);
        stopped.forEach(upstream -> {
            history.add(new Change(Said.UPSTREAM_LEAVES, upstream.id(), history.now()));
            instances.forEach(
                    instance -> instance.upstreamLinks().ended(upstream.link().port()));
            upstream.close();
            operator.forget(upstream);
        });
    }

    private void limit(SoakUpstream upstream, Plan.Step step) {
        upstream.limited(true);
        later.schedule(() -> upstream.limited(false), LONG_FACTOR * step.forMillis(), TimeUnit.MILLISECONDS);
    }

    private void crashUpstreams(CrashCause cause, Plan.Step step) {
        String begun = cause.begin(++crashCauses);
        later.schedule(() -> cause.end(begun), LONG_FACTOR * step.forMillis(), TimeUnit.MILLISECONDS);
    }

    /** Replaces an upstream that ended by itself by one at another address. */
    private synchronized void replace(SoakUpstream crashed) {
        history.add(new Change(Said.UPSTREAM_LEAVES, crashed.id(), history.now()));
        fault("crash", crashed.id(), DOWN_MS);
        instances.forEach(
                instance -> instance.upstreamLinks().ended(crashed.link().port()));
        boolean model = models.remove(crashed);
        boolean app = apps.remove(crashed);
        later.schedule(() -> operator.forget(crashed), LEASE_MS, TimeUnit.MILLISECONDS);
        if (!model && !app) {
            return;
        }
        String service = model ? Operator.MODEL : Operator.APP;
        later.schedule(
                () -> (model ? models : apps)
                        .add(upstream(
                                service + "-back-" + released,
                                service,
                                ++released,
                                crashed.version(),
                                model ? Checks.COLD_MS : 0)),
                DOWN_MS,
                TimeUnit.MILLISECONDS);
    }

    private void empty(String domain, Plan.Step step) {
        operator.empty(domain);
        after(step, () -> operator.restore(domain));
    }

    private void writeOddEntry(Plan.Step step) {
        String id = operator.writeOddEntry(step.index());
        after(step, () -> operator.removeEntry(id));
    }

    private SoakUpstream upstream(Plan.Step step) {
        List<SoakUpstream> service = step.index() % 2 == 0 ? models : apps;
        List<SoakUpstream> running = service.isEmpty() ? models : service;
        return running.get(step.index() / 2 % running.size());
    }

    /** Returns the software version of the upstream with a number; three are in use from the start. */
    private static String version(int number) {
        return "v1." + number % VERSIONS;
    }

    private SoakUpstream upstream(String id, String service, int number, String version, long coldMillis) {
        SoakUpstream upstream =
                new SoakUpstream(id, domains.get(number % domains.size()), version, history, this::replace);
        history.add(new Serving(id, version, history.now()));
        if (coldMillis > 0) {
            history.add(new Change(Said.UPSTREAM_STARTED, id, history.now()));
        }
        operator.announce(upstream, service, false, coldMillis);
        return upstream;
    }

    private void fault(String kind, String target, long millis) {
        long now = history.now();
        history.add(new Fault(kind, target, now, now + millis));
    }

    private void after(Plan.Step step, Runnable end) {
        later.schedule(end, step.forMillis(), TimeUnit.MILLISECONDS);
    }
}
