package org.cuminspur.platform;

/** The kinds of requests of a {@link Deployment}; immutable. */
enum RequestKind {
    UNREPEATABLE("/book/", false, false),
    REPEATABLE("/look/", false, true),
    RESUMABLE_STREAM("/chat/", true, true),
    UNRESUMABLE_STREAM("/draft/", true, false);

    private final String path;
    private final boolean stream;
    private final boolean repeatable;

    RequestKind(String path, boolean stream, boolean repeatable) {
        this.path = path;
        this.stream = stream;
        this.repeatable = repeatable;
    }

    /** Returns a path of its route. */
    String path(String last) {
        return path + last;
    }

    /** Returns whether its answer is a stream of events. */
    boolean isStream() {
        return stream;
    }

    /** Returns whether it may be sent to a second server. */
    boolean mayRepeat() {
        return repeatable;
    }

    /** Returns the header line with the type of its answer. */
    String contentType() {
        return "Content-Type: " + (stream ? "text/event-stream" : "text/plain") + "\r\n";
    }
}
