package org.crocusturn.daemon.net;

/** Takes the requests of an {@link HttpServer}; it must not block. */
@FunctionalInterface
public interface HttpHandler {
    /** Takes a request; its answer may come later and from another thread. */
    void handle(HttpExchange exchange);
}
