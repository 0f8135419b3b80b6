package org.crocusturn.standin.database;

import org.crocusturn.daemon.net.HttpAnswer;
import org.crocusturn.daemon.net.HttpClientConnection;

/** Is what the replication of a copy reacts to; a generation tells stale events apart. */
sealed interface ReplicationEvent {
    /** The primary to follow or the behaviour changed. */
    record StateChanged() implements ReplicationEvent {}

    /** A connection to the primary is open. */
    record Connected(long generation, HttpClientConnection connection)
            implements ReplicationEvent {}

    /** The primary answered. */
    record AnswerReceived(long generation, HttpAnswer answer) implements ReplicationEvent {}

    /** The primary could not be reached. */
    record PullFailed(long generation) implements ReplicationEvent {}
}
