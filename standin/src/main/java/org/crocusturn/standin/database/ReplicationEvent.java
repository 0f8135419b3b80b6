package org.crocusturn.standin.database;

import org.crocusturn.daemon.net.HttpClientConnection;
import org.crocusturn.daemon.net.HttpResponse;

/** Is what the replication of a copy reacts to; a generation tells stale events apart. */
sealed interface ReplicationEvent {
    /** The primary to follow or the behaviour changed. */
    record Changed() implements ReplicationEvent {}

    /** A connection to the primary is open. */
    record Connected(long generation, HttpClientConnection connection)
            implements ReplicationEvent {}

    /** The primary answered. */
    record Pulled(long generation, HttpResponse answer) implements ReplicationEvent {}

    /** The primary could not be reached. */
    record Failed(long generation) implements ReplicationEvent {}
}
