package org.cuminspur.standin.users;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The links of one instance to all upstreams, which can be cut; thread-safe.
 *
 * <p>The instance sees the store through {@link #view}, which puts the address of a link in place of an upstream's.
 */
public final class UpstreamLinks implements AutoCloseable {
    private static final Pattern ADDRESS = Pattern.compile("127\\.0\\.0\\.1:(\\d+)");

    private final Map<Integer, CutLink> links = new ConcurrentHashMap<>();
    private volatile CutLink.Mode mode = CutLink.Mode.WHOLE;

    /** Returns the value of an upstream's entry with the address of its link; other values are returned as they are. */
    public String view(String key, String value) {
        Matcher address = ADDRESS.matcher(value);
        if (!key.startsWith(StandinStore.SERVERS_PREFIX) || !address.find()) {
            return value;
        }
        CutLink link = links.computeIfAbsent(Integer.valueOf(address.group(1)), this::open);
        return address.replaceFirst("127.0.0.1:" + link.port());
    }

    /** Cuts all links, or makes them whole. */
    public synchronized void mode(CutLink.Mode next) {
        mode = next;
        links.values().parallelStream().forEach(link -> link.mode(next));
    }

    /** Leaves the link to one upstream whole while the others are cut. */
    public void whole(int port) {
        CutLink link = new CutLink(port);
        links.put(port, link);
    }

    /** Refuses connections to an upstream whose process has ended, as its own port does. */
    public void ended(int port) {
        Optional.ofNullable(links.get(port)).ifPresent(CutLink::close);
    }

    @Override
    public void close() {
        links.values().forEach(CutLink::close);
    }

    private CutLink open(int target) {
        CutLink link = new CutLink(target);
        link.mode(mode);
        return link;
    }
}
