package org.crocusturn.daemon.net;

import java.time.Duration;

/**
 * Limits of an {@link HttpServer} and of each of its connections.
 *
 * @param maxBodyBytes maximum size of a request body; a larger one is rejected with status 413
 * @param maxPipelined maximum requests of one connection that wait for responses; the connection
 *     does not read while the limit is reached
 * @param requestTimeout maximum time from the first byte of a request to the last
 * @param idleTimeout time after which a connection without requests is closed
 * @param maxConnections maximum concurrent connections; further ones are closed at once
 */
public record HttpLimits(
        int maxBodyBytes,
        int maxPipelined,
        Duration requestTimeout,
        Duration idleTimeout,
        int maxConnections) {
    /** Limits for the callers of an entry host. */
    public static final HttpLimits DEFAULT =
            new HttpLimits(1 << 20, 64, Duration.ofSeconds(10), Duration.ofMinutes(5), 20_000);
}
