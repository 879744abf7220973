package org.cuminspur.rollout;

/** Observes one attempt at an upstream; used on the traffic thread. */
public interface AnswerObserver {
    /** Ignores all. */
    AnswerObserver NONE = new AnswerObserver() {
        @Override
        public void received(int bytes, long nowMillis) {}

        @Override
        public void completed(long nowMillis) {}

        @Override
        public void failed() {}

        @Override
        public void givenUp(long nowMillis) {}
    };

    /** Bytes of the body of a successful response were received. */
    void received(int bytes, long nowMillis);

    /** The successful response is complete. */
    void completed(long nowMillis);

    /** The upstream failed the request: an error, a response that is cut, or one that belongs to no request. */
    void failed();

    /** The attempt was given up before the upstream had ended it. */
    void givenUp(long nowMillis);
}
