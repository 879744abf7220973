package org.cuminspur.traffic;

import org.cuminspur.id.StreamId;

/** A message between instances about where a stream began; each kind is an immutable record. */
public sealed interface StreamOriginMessage {
    /** Returns the stream that the message is about. */
    StreamId stream();

    /**
     * States where a stream began.
     *
     * @param retentionMillis how long it may still be resumed
     */
    record Known(StreamId stream, StreamOrigin origin, long retentionMillis) implements StreamOriginMessage {}

    /** Asks where a stream began. */
    record Query(StreamId stream) implements StreamOriginMessage {}

    /** Answers that the sender does not know where a stream began. */
    record Unknown(StreamId stream) implements StreamOriginMessage {}
}
