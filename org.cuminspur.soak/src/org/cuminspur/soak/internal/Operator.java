package org.cuminspur.soak.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cuminspur.soak.internal.History.Change;
import org.cuminspur.soak.internal.History.Said;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinStore;

/**
 * Publishes configurations and entries, and records when the store had acknowledged each; thread-safe.
 *
 * <p>Writes again what the store loses when it comes back from a copy. Each configuration holds two keys, of which the next one drops the older.
 */
final class Operator {
    /** The account that all callers belong to. */
    static final String ACCOUNT = "account";

    /** Service of streams, whose upstreams can be cold. */
    static final String MODEL = "model";

    /** Service of all other requests. */
    static final String APP = "app";

    /** Not JSON, deep, without a usable address, and with numbers that are too large. */
    private static final List<String> ODD_ENTRIES = List.of(
            "{",
            "[".repeat(50_000),
            OperatorConfigBuilder.serverEntry(MODEL, 1, "a", "ready", 0).replace("127.0.0.1:1", "a b:80"),
            OperatorConfigBuilder.serverEntry(APP, 1, "a", "ready", 0).replace("127.0.0.1:1", "[::1:80"),
            OperatorConfigBuilder.serverEntry(APP, 99_999, "a", "ready", 0),
            OperatorConfigBuilder.serverEntry(MODEL, 1, "a", "ready", Long.MAX_VALUE),
            OperatorConfigBuilder.serverEntry(MODEL, 1, "a", "ready", 0).replace("\"born\":1", "\"born\":1e999"));

    private static final String KEY_PREFIX = "key-";
    private static final int MAX_ATTEMPTS = 2;
    private static final String ROLLOUT_PREFIX = "op/rollout/";
    private static final String ROLLOUT_STATUS_PREFIX = "status/rollout/";
    private static final double MILLIS_PER_SECOND = 1_000;

    private final StandinStore store;
    private final History history;
    private final OperatorConfigBuilder config;
    private final Map<String, String> written = new HashMap<>();
    private int newest = 1;

    Operator(StandinStore store, History history, long timeoutMillis) {
        this.store = store;
        this.history = history;
        this.config = new OperatorConfigBuilder()
                .service(MODEL, true)
                .service(APP, false)
                .route("/chat/", "stream", MODEL, MAX_ATTEMPTS, timeoutMillis)
                .route("/draft/", "stream", MODEL, 1, timeoutMillis)
                .route("/look/", "idempotent", APP, MAX_ATTEMPTS, timeoutMillis)
                .route("/book/", "non_idempotent", APP, 1, timeoutMillis);
        publish();
    }

    /** Returns the number of a key, by which later keys are told from earlier ones. */
    static int number(String key) {
        return Integer.parseInt(key.substring(KEY_PREFIX.length()));
    }

    /** Returns the keys in force, newest first, and the one that was dropped last. */
    synchronized List<String> keys() {
        return List.of(key(newest), key(newest - 1), key(newest - 2));
    }

    /** Publishes a configuration with a new key and without the oldest one. */
    synchronized void changeKeys() {
        newest++;
        publish();
        history.add(new Change(Said.KEY_REVOKED, key(newest - 2), history.now()));
    }

    /** Writes an upstream's entry. */
    void announce(SoakUpstream upstream, String service, boolean leaving, long coldLeftMillis) {
        String state = leaving ? "draining" : "ready";
        write(
                StandinStore.SERVERS_PREFIX + upstream.id(),
                OperatorConfigBuilder.serverEntry(
                        service, upstream.version(), upstream.link().port(), upstream.domain(), state, coldLeftMillis));
        if (leaving) {
            history.add(new Change(Said.UPSTREAM_LEAVES, upstream.id(), history.now()));
        }
    }

    /** Removes an upstream's entry. */
    void forget(SoakUpstream upstream) {
        removeEntry(upstream.id());
    }

    /** Removes the entry under an upstream's id. */
    void removeEntry(String id) {
        remove(StandinStore.SERVERS_PREFIX + id);
    }

    /** Writes an entry that names no upstream, chosen by a number; returns its id. */
    String writeOddEntry(int number) {
        String id = number % 2 == 0 ? " " : "odd-" + number;
        write(StandinStore.SERVERS_PREFIX + id, ODD_ENTRIES.get(number / 2 % ODD_ENTRIES.size()));
        return id;
    }

    /** Orders that a service moves to a software version. */
    void rollOut(String service, String target, long durationMillis) {
        write(
                ROLLOUT_PREFIX + service,
                "{\"service\":\"" + service + "\",\"target\":\"" + target + "\",\"duration_s\":"
                        + durationMillis / MILLIS_PER_SECOND + "}");
    }

    /** Returns what operators read of the roll-out of a service, empty before it has begun. */
    String rolloutStatus(String service) {
        return store.value(ROLLOUT_STATUS_PREFIX + service);
    }

    void empty(String domain) {
        write(StandinStore.DRAINED_DOMAINS_PREFIX + domain, "{}");
        history.add(new Change(Said.DOMAIN_EMPTIED, domain, history.now()));
    }

    void restore(String domain) {
        history.add(new Change(Said.DOMAIN_RESTORED, domain, history.now()));
        remove(StandinStore.DRAINED_DOMAINS_PREFIX + domain);
    }

    private void publish() {
        config.account(ACCOUNT, key(newest), key(newest - 1));
        write(StandinStore.CONFIG_KEY, config.nextVersion());
    }

    /** Writes again what the store holds no more, or not any more as it was written last. */
    synchronized void writeAgain() {
        Set<String> stored = store.keys();
        stored.stream()
                .filter(key -> key.startsWith(StandinStore.SERVERS_PREFIX)
                        || key.startsWith(StandinStore.DRAINED_DOMAINS_PREFIX))
                .filter(key -> !written.containsKey(key))
                .forEach(store::remove);
        written.forEach(store::put);
    }

    private synchronized void write(String key, String value) {
        written.put(key, value);
        store.put(key, value);
    }

    private synchronized void remove(String key) {
        written.remove(key);
        store.remove(key);
    }

    private static String key(int number) {
        return KEY_PREFIX + number;
    }
}
