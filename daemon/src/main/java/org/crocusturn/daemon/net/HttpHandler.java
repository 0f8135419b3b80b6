package org.crocusturn.daemon.net;

/** Handles the requests of an {@link HttpServer}; must not block. */
@FunctionalInterface
public interface HttpHandler {
    /** Handles a request; the response may be given later and from another thread. */
    void handle(HttpExchange exchange);
}
