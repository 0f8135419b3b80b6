package org.crocusturn.standin.database;

import org.crocusturn.core.endpoints.RequestId;
import org.crocusturn.daemon.net.HttpClientConnection;
import org.crocusturn.daemon.net.HttpResponse;

/**
 * An event of {@link ReplicationDuty}.
 *
 * <p>The generation identifies the connection attempt, so that events of earlier attempts can be
 * ignored.
 */
sealed interface ReplicationEvent {
    /** The state of the copy or the behaviour changed. */
    record StateChanged() implements ReplicationEvent {}

    /** A connection to the primary was opened. */
    record Connected(long generation, HttpClientConnection connection)
            implements ReplicationEvent {}

    /** The primary answered a replication request. */
    record ResponseReceived(long generation, RequestId request, HttpResponse response)
            implements ReplicationEvent {}

    /** Connecting to the primary or sending a request failed. */
    record PullFailed(long generation) implements ReplicationEvent {}
}
