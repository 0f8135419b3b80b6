package org.crocusturn.daemon.net;

import java.time.Duration;

/**
 * Limits what one connection of an {@link HttpServer} may use.
 *
 * @param maxBodyBytes longest body in bytes; a longer one is answered with 413
 * @param maxPipelined requests that may wait for answers on one connection; reading stops there
 * @param requestTimeout time from the first byte of a request to its last
 * @param idleTimeout time for which a connection without requests stays open
 * @param maxConnections connections open at the same time; further ones are closed at once
 */
public record HttpLimits(
        int maxBodyBytes,
        int maxPipelined,
        Duration requestTimeout,
        Duration idleTimeout,
        int maxConnections) {
    /** Limits that fit callers of an entry host. */
    public static final HttpLimits DEFAULT =
            new HttpLimits(1 << 20, 64, Duration.ofSeconds(10), Duration.ofMinutes(5), 20_000);
}
