package org.crocusturn.daemon.net;

/** Is a request that waits for its answer. */
public interface HttpExchange {
    /** Returns the request. */
    HttpRequest request();

    /** Returns the connection, for protocols that keep a session for each connection. */
    default HttpConnection connection() {
        throw new UnsupportedOperationException("this exchange has no connection");
    }

    /**
     * Tells that {@link #request} will not be called again, so that headers and body need not be
     * kept until the answer.
     */
    default void releaseRequest() {}

    /**
     * Answers the request.
     *
     * <p>Can be called from any thread. Answers leave the connection in the order of the requests.
     * Only the first call counts.
     */
    void respond(HttpResponse response);
}
