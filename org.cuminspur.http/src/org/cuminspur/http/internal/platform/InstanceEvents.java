package org.cuminspur.http.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import org.cuminspur.control.ListedInstance;

/** Applies the events of one watch to the slices by name; used by one thread. */
public final class InstanceEvents {
    private final Map<String, List<ListedInstance>> slices;
    private final JsonLines lines = new JsonLines(this::applyEvent);
    private String version;
    private boolean changed;
    private boolean outdated;

    public InstanceEvents(Map<String, List<ListedInstance>> slices, String version) {
        this.slices = slices;
        this.version = version;
    }

    /** Applies the next piece of the watch's body; returns whether any slice changed. */
    public boolean apply(byte[] piece) {
        changed = false;
        lines.append(piece);
        return changed;
    }

    /** Returns the version of the last event. */
    public String version() {
        return version;
    }

    /** Returns whether the platform no longer keeps the changes since the requested version. */
    public boolean outdated() {
        return outdated;
    }

    private void applyEvent(JsonNode event) {
        JsonNode slice = event.path("object");
        String name = EndpointSlices.name(slice);
        switch (event.path("type").asText()) {
            case "ADDED", "MODIFIED" -> slices.put(name, EndpointSlices.instances(slice));
            case "DELETED" -> slices.remove(name);
            case "ERROR" -> outdated = true;
            default -> {
                return;
            }
        }
        changed = true;
        version = EndpointSlices.version(slice);
    }
}
