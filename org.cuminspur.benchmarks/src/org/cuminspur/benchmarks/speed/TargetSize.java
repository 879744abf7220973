package org.cuminspur.benchmarks.speed;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGeneratorFactory;
import org.cuminspur.config.ConfigDocument;
import org.cuminspur.config.ConfigFile;
import org.cuminspur.control.ControlCore;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.control.RouterIdentity;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.Revision;
import org.cuminspur.internal.config.ConfigStoreCodec;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreKeys;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;

/**
 * Builds the control state of one router in a fleet of a given size; used by one thread.
 *
 * @param routers instances of cuminspur
 * @param upstreams engines, spread evenly over the models
 * @param accounts client accounts
 * @param models services with engines
 */
public record TargetSize(int routers, int upstreams, int accounts, int models) {
    /** The size that the fleet is designed for. */
    public static final TargetSize TARGET = new TargetSize(360, 600, 1_500, 7);

    private static final int DOMAINS = 8;
    private static final long START_MS = 1_000_000;
    private static final StoreRevision REVISION = StoreRevision.withoutEra(1);

    /** Returns a core that holds the configuration and the instance list, and has ticked once. */
    public ControlCore core() {
        RouterIdentity self = new RouterIdentity(new InstanceId("router-0"), new FailureDomainId("domain-0"));
        ControlCore core = new ControlCore(
                self, RandomGeneratorFactory.of("L64X128MixRandom").create(1));
        core.accept(new ControlInput.InstancesListed(instances()), START_MS, output -> {});
        core.accept(
                new ControlInput.StoreRead(StoreKeys.CONFIG_PREFIX, Either.right(stored())), START_MS, output -> {});
        core.tick(START_MS, output -> {});
        return core;
    }

    /** Returns the platform's list at this size. */
    public List<ListedInstance> instances() {
        List<ListedInstance> instances = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            instances.add(instance("router-" + i, ListedInstance.ROUTER_SERVICE, i));
        }
        for (int i = 0; i < upstreams; i++) {
            instances.add(instance("engine-" + i, "model-" + i % models, i));
        }
        return instances;
    }

    /** Returns the configuration at this size: one file for each service and one with the accounts. */
    public ConfigDocument document() {
        Map<String, ConfigFile> files = new HashMap<>();
        for (int i = 0; i < models; i++) {
            String text = "[service model-" + i + "]\n[route chat-" + i + "]\nservice = model-" + i
                    + "\npath = /v1/chat/completions\nmodel = model-" + i + "\n";
            files.put("model-" + i, new ConfigFile(new Revision(1), text));
        }
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < accounts; i++) {
            text.append("[account account-").append(i).append("]\nkey-sha256 = ");
            text.append(String.format("%064x", i)).append("\nrate = 20\n");
        }
        files.put("accounts", new ConfigFile(new Revision(1), text.toString()));
        return new ConfigDocument(new Revision(1), "publication", files);
    }

    private StoreView stored() {
        List<StoreEntry> entries =
                ConfigStoreCodec.replacementTxn(ConfigDocument.EMPTY, document(), StoreRevision.NONE).puts().stream()
                        .map(put -> new StoreEntry(put.key(), put.value(), REVISION))
                        .toList();
        return new StoreView(REVISION, entries);
    }

    private static ListedInstance instance(String name, String service, int number) {
        FailureDomainId domain = new FailureDomainId("domain-" + number % DOMAINS);
        return new ListedInstance(name, service, "127.0.0.1", Map.of("http", 1, "peer", 2), domain, "1", false);
    }
}
