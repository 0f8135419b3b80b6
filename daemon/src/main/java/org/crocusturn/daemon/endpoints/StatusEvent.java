package org.crocusturn.daemon.endpoints;

import org.crocusturn.core.EndpointId;
import org.crocusturn.daemon.net.HttpAnswer;
import org.crocusturn.daemon.net.HttpClientConnection;

/** Is what the status monitor's duty reacts to; a generation tells stale events apart. */
sealed interface StatusEvent {
    /** Watch an endpoint. */
    record Watch(EndpointId endpoint, String address) implements StatusEvent {}

    /** Stop watching an endpoint. */
    record Unwatch(EndpointId endpoint) implements StatusEvent {}

    /** A connection is open. */
    record Connected(EndpointId endpoint, long generation, HttpClientConnection connection)
            implements StatusEvent {}

    /** A poll was answered. */
    record Answered(EndpointId endpoint, long generation, HttpAnswer answer)
            implements StatusEvent {}

    /** A connection could not be opened, was closed or gave no answer. */
    record Failed(EndpointId endpoint, long generation) implements StatusEvent {}
}
