package org.crocusturn.standin.measure;

import java.util.Optional;
import org.crocusturn.daemon.net.HttpAnswer;

/** Is what the duty of a load is told. */
sealed interface LoadEvent {
    /**
     * A request ended.
     *
     * @param request the request
     * @param answer its answer; empty if the connection failed
     * @param completedNanos monotonic time of the end
     */
    record Completed(SentRequest request, Optional<HttpAnswer> answer, long completedNanos)
            implements LoadEvent {}

    /**
     * Is a request that was sent.
     *
     * @param arrival arrival that caused it
     * @param session the session when it was sent
     * @param sentNanos time since the start of the load at which it was sent
     */
    record SentRequest(Arrival arrival, CallerSession session, long sentNanos) {}
}
