package org.cuminspur.traffic;

import org.cuminspur.id.Revision;
import org.cuminspur.store.StoreRevision;

/**
 * Decides when the view of the store is complete after the store came back from a copy.
 *
 * <p>Confined to the timer thread, except {@link #settled}. What the store lost is written again by whoever wrote it. An
 * era is settled once writers had time for that and the store holds no older configuration than the one in force; until
 * then the absence of an entry says nothing, and the view is not confirmed. An instance that finds an era settled states
 * so under a key, for those that start later. A store without eras is always settled.
 */
final class EraSettlement {
    /** Key of the latest era that an instance found settled. */
    static final String KEY = "cuminspur/era";

    /** Time for writers as a multiple of the grace period, at an instance that knows nothing of earlier eras. */
    private static final int START_GRACE_FACTOR = 2;

    private final long graceMillis;
    private StoreRevision firstRead = StoreRevision.NONE;
    private long graceEndMillis;
    private long statedEra;
    private Revision storedConfig = Revision.NONE;
    private volatile boolean settled = true;

    /**
     * Creates a settlement of a store without eras.
     *
     * @param graceMillis time in which writers have written again
     */
    EraSettlement(long graceMillis) {
        this.graceMillis = graceMillis;
    }

    /** Returns whether the era is settled; may be called on any thread. */
    boolean settled() {
        return settled;
    }

    /** Returns whether a revision is of a later era than the present one. */
    boolean isLaterEra(StoreRevision revision) {
        return revision.era() > firstRead.era();
    }

    /** Returns whether a revision is of an earlier era than the present one. */
    boolean isEarlierEra(StoreRevision revision) {
        return revision.era() < firstRead.era();
    }

    /** Returns whether what was written at a revision may be from the copy, and not written again since. */
    boolean isFromCopy(StoreRevision revision) {
        return firstRead.era() > 0 && !revision.isAfter(firstRead);
    }

    /** Returns the time until which writers may write again. */
    long graceEndMillis() {
        return graceEndMillis;
    }

    /**
     * Begins a later era.
     *
     * @param first the revision of the first read in it
     * @param continues whether this instance has a view from an earlier era
     */
    void begin(StoreRevision first, boolean continues, long nowMillis) {
        firstRead = first;
        storedConfig = Revision.NONE;
        settled = false;
        graceEndMillis = nowMillis + (continues ? 1 : START_GRACE_FACTOR) * graceMillis;
    }

    /** Records the configuration that the store holds in the present era. */
    void recordConfig(Revision revision) {
        storedConfig = revision;
    }

    /** Records the latest era that an instance stated as settled. */
    void recordStated(long era) {
        statedEra = Math.max(statedEra, era);
    }

    /** Returns whether an instance has stated that the present era is settled. */
    boolean isStated() {
        return statedEra == firstRead.era();
    }

    /** Returns whether the era can be settled now, by a read of all keys that starts now. */
    boolean isDue(Revision inForce, long nowMillis) {
        return !settled && (isStated() || nowMillis >= graceEndMillis) && !inForce.isNewerThan(storedConfig);
    }

    /** Settles the era. */
    void settle() {
        settled = true;
    }

    long era() {
        return firstRead.era();
    }
}
