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
