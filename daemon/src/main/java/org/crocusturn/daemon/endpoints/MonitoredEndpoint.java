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
 * @param attemptStartNanos start of the current or last attempt
 * @param nextAttemptNanos earliest start of the next attempt
 * @param silenceDeadlineNanos time at which the endpoint is reported as silent
 */
record MonitoredEndpoint(
        EndpointId endpoint,
        String address,
        long generation,
        Optional<HttpClientConnection> connection,
        long version,
        int failures,
        boolean attempting,
        long attemptStartNanos,
        long nextAttemptNanos,
        long silenceDeadlineNanos) {
    static MonitoredEndpoint create(
            EndpointId endpoint, String address, long generation, long nowNanos, long silentNanos) {
        return new MonitoredEndpoint(
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
    MonitoredEndpoint withAttempt(long newGeneration, long nowNanos) {
        return new MonitoredEndpoint(
                endpoint,
                address,
                newGeneration,
                connection,
                version,
                failures,
                true,
                nowNanos,
                nextAttemptNanos,
                silenceDeadlineNanos);
    }

    /** Returns a copy with an open connection. */
    MonitoredEndpoint withConnection(HttpClientConnection opened) {
        return new MonitoredEndpoint(
                endpoint,
                address,
                generation,
                Optional.of(opened),
                version,
                failures,
                attempting,
                attemptStartNanos,
                nextAttemptNanos,
                silenceDeadlineNanos);
    }

    /** Returns a copy after an answer. */
    MonitoredEndpoint withResponse(long seenVersion, long newNextNanos, long newSilentNanos) {
        return new MonitoredEndpoint(
                endpoint,
                address,
                generation,
                connection.filter(HttpClientConnection::isOpen),
                seenVersion,
                0,
                false,
                attemptStartNanos,
                newNextNanos,
                newSilentNanos);
    }

    /** Returns a copy after a failed attempt, without a connection. */
    MonitoredEndpoint withFailure(int newFailures, long newNextNanos) {
        return new MonitoredEndpoint(
                endpoint,
                address,
                generation,
                Optional.empty(),
                -1,
                newFailures,
                false,
                attemptStartNanos,
                newNextNanos,
                silenceDeadlineNanos);
    }

    /** Returns a copy with a new time at which the endpoint is reported as silent. */
    MonitoredEndpoint withSilenceDeadline(long nanos) {
        return new MonitoredEndpoint(
                endpoint,
                address,
                generation,
                connection,
                version,
                failures,
                attempting,
                attemptStartNanos,
                nextAttemptNanos,
                nanos);
    }
}
