package org.crocusturn.daemon.endpoints;

import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.daemon.net.HttpClientConnection;

/**
 * Polling state of one monitored endpoint; times are monotonic nanoseconds.
 *
 * @param endpoint the endpoint
 * @param address address of its status port
 * @param generation id of the current attempt
 * @param connection open connection, if there is one
 * @param version version of the last received status, or -1 before the first
 * @param failures number of consecutive refused or reset attempts
 * @param attempting whether an attempt is in progress
 * @param attemptNanos start of the current or last attempt
 * @param nextNanos earliest start of the next attempt
 * @param silentNanos time at which the endpoint is reported as silent
 */
record WatchedEndpoint(
        EndpointId endpoint,
        String address,
        long generation,
        Optional<HttpClientConnection> connection,
        long version,
        int failures,
        boolean attempting,
        long attemptNanos,
        long nextNanos,
        long silentNanos) {
    static WatchedEndpoint create(
            EndpointId endpoint, String address, long generation, long nowNanos, long silentNanos) {
        return new WatchedEndpoint(
                endpoint,
                address,
                generation,
                Optional.empty(),
                -1,
                0,
                false,
                nowNanos,
                nowNanos,
                silentNanos);
    }

    /** Returns a copy with a new attempt that starts now. */
    WatchedEndpoint withAttempt(long newGeneration, long nowNanos) {
        return new WatchedEndpoint(
                endpoint,
                address,
                newGeneration,
                connection,
                version,
                failures,
                true,
                nowNanos,
                nextNanos,
                silentNanos);
    }

    /** Returns a copy with an open connection. */
    WatchedEndpoint withConnection(HttpClientConnection opened) {
        return new WatchedEndpoint(
                endpoint,
                address,
                generation,
                Optional.of(opened),
                version,
                failures,
                attempting,
                attemptNanos,
                nextNanos,
                silentNanos);
    }

    /** Returns a copy after an answer. */
    WatchedEndpoint withAnswer(long seenVersion, long newNextNanos, long newSilentNanos) {
        return new WatchedEndpoint(
                endpoint,
                address,
                generation,
                connection.filter(HttpClientConnection::isOpen),
                seenVersion,
                0,
                false,
                attemptNanos,
                newNextNanos,
                newSilentNanos);
    }

    /** Returns a copy after a failed attempt, without a connection. */
    WatchedEndpoint withFailure(int newFailures, long newNextNanos) {
        return new WatchedEndpoint(
                endpoint,
                address,
                generation,
                Optional.empty(),
                -1,
                newFailures,
                false,
                attemptNanos,
                newNextNanos,
                silentNanos);
    }

    /** Returns a copy with a new time at which the endpoint is reported as silent. */
    WatchedEndpoint withSilentNanos(long nanos) {
        return new WatchedEndpoint(
                endpoint,
                address,
                generation,
                connection,
                version,
                failures,
                attempting,
                attemptNanos,
                nextNanos,
                nanos);
    }
}
