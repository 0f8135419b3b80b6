package org.crocusturn.daemon.net;

/** Request together with the means to respond to it. */
public interface HttpExchange {
    /** Returns the request. */
    HttpRequest request();

    /** Returns the connection, for protocols with a session per connection. */
    default HttpConnection connection() {
        throw new UnsupportedOperationException("this exchange has no connection");
    }

    /**
     * Returns a steady time before which the client cannot have sent the request: when its
     * connection was accepted or the response to the previous request was written.
     */
    long earliestSentNanos();

    /** Returns whether the client has closed the connection, so that it waits for no response. */
    default boolean isAbandoned() {
        return false;
    }

    /**
     * Releases the request, so that its headers and body are not kept in memory until the response.
     * {@link #request} must not be called afterwards.
     */
    default void releaseRequest() {}

    /**
     * Responds to the request.
     *
     * <p>Thread-safe. Responses are written in request order. Only the first call has an effect.
     */
    void respond(HttpResponse response);
}
