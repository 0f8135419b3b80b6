package org.crocusturn.daemon.endpoints;

import org.crocusturn.core.EndpointId;
import org.crocusturn.core.endpoints.RequestId;
import org.crocusturn.daemon.net.HttpClientConnection;
import org.crocusturn.daemon.net.HttpResponse;

/** Event handled by {@link StatusMonitorDuty}; the generation identifies stale events. */
sealed interface StatusEvent {
    /** Starts monitoring an endpoint. */
    record Watch(EndpointId endpoint, String address) implements StatusEvent {}

    /** Stops monitoring an endpoint. */
    record Unwatch(EndpointId endpoint) implements StatusEvent {}

    /** A connection was opened. */
    record Connected(EndpointId endpoint, long generation, HttpClientConnection connection)
            implements StatusEvent {}

    /** A poll was answered. */
    record PollAnswered(
            EndpointId endpoint, long generation, RequestId request, HttpResponse response)
            implements StatusEvent {}

    /** A connection could not be opened, was closed, or a poll got no answer. */
    record Failed(EndpointId endpoint, long generation) implements StatusEvent {}
}
