package org.cuminspur.publish;

import java.util.List;
import org.cuminspur.config.ConfigFault;
import org.cuminspur.id.Revision;

/** How a publication ended; each kind is an immutable record. */
public sealed interface PublishResult {
    /** The files were published as {@code revision}. */
    record Published(Revision revision) implements PublishResult {}

    /** The files equal those of {@code revision}; nothing was published. */
    record Unchanged(Revision revision) implements PublishResult {}

    /** The merged files have faults; nothing was published. */
    record Invalid(List<ConfigFault> faults) implements PublishResult {}

    /**
     * Another publication changed the same files meanwhile; nothing was published.
     *
     * @param publicationId id of the newest publication
     * @param files the files that both changed
     */
    record Conflict(Revision revision, String publicationId, List<String> files) implements PublishResult {}

    /** The platform's store did not answer in time; whether the publication took effect is not known. */
    record StoreUnavailable(boolean mayHavePublished) implements PublishResult {}
}
