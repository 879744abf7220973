package org.cuminspur.router.internal.control;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.cuminspur.control.ControlCore;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ControlOutput;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.control.PeerRecord;
import org.cuminspur.control.UpstreamRecord;
import org.cuminspur.peer.PeerTransport;
import org.cuminspur.store.WatchedStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Executes the outputs of the control core; runs on the control thread and never blocks. */
final class OutputRunner implements Consumer<ControlOutput> {
    private static final Logger log = LoggerFactory.getLogger("org.cuminspur.state");

    private final WatchedStore store;
    private final UpstreamProber prober;
    private final ControlCore core;
    private final Consumer<ControlInput> post;
    private final Map<String, WatchedStore.Watch> watches = new HashMap<>();
    private PeerTransport peers;

    OutputRunner(WatchedStore store, ControlCore core, UpstreamProber prober, Consumer<ControlInput> post) {
        this.prober = prober;
        this.store = store;
        this.core = core;
        this.post = post;
    }

    void attachPeers(PeerTransport links) {
        peers = links;
    }

    @Override
    public void accept(ControlOutput output) {
        if (output instanceof ControlOutput.SendPeerMessage send) {
            send(send);
        } else if (output instanceof ControlOutput.ReadStore read) {
            store.range(read.prefix(), reply -> post.accept(new ControlInput.StoreRead(read.prefix(), reply)));
        } else if (output instanceof ControlOutput.CommitStore commit) {
            store.commit(commit.txn(), reply -> post.accept(new ControlInput.StoreCommitted(commit.tag(), reply)));
        } else if (output instanceof ControlOutput.StartWatch start) {
            watches.put(start.prefix(), startWatch(start));
        } else if (output instanceof ControlOutput.StopWatch stop) {
            stopWatch(stop);
        } else if (output instanceof ControlOutput.ProbeUpstream probe) {
            probe(probe);
        } else if (output instanceof ControlOutput.StateChanged changed) {
            log.info("event={} {}", changed.event(), changed.detail());
        }
    }

    private void send(ControlOutput.SendPeerMessage send) {
        PeerRecord peer = core.state().peer(send.to());
        if (peer != null) {
            ListedInstance listed = peer.listed();
            peers.send(send.to(), listed.host(), listed.port(ListedInstance.PEER_PORT), send.message());
        }
    }

    private void probe(ControlOutput.ProbeUpstream probe) {
        UpstreamRecord upstream = core.state().upstream(probe.upstream());
        if (upstream != null) {
            prober.probe(upstream);
        }
    }

    private WatchedStore.Watch startWatch(ControlOutput.StartWatch start) {
        return store.watch(
                start.prefix(),
                start.afterRevision(),
                changes -> post.accept(new ControlInput.StoreChanged(start.prefix(), changes)),
                () -> post.accept(new ControlInput.WatchEnded(start.prefix())));
    }

    private void stopWatch(ControlOutput.StopWatch stop) {
        WatchedStore.Watch watch = watches.remove(stop.prefix());
        if (watch != null) {
            watch.close();
        }
    }
}
