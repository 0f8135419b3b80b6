package org.crocusturn.standin.measure;

import java.util.Optional;
import org.crocusturn.daemon.net.HttpResponse;

/** An event for a {@link LoadDuty}. */
sealed interface LoadEvent {
    /**
     * A request has completed.
     *
     * @param request the request
     * @param answer answer; empty if there is none, as after a lost connection
     * @param completedNanos monotonic time of completion
     */
    record Completed(SentRequest request, Optional<HttpResponse> answer, long completedNanos)
            implements LoadEvent {}

    /**
     * A request that has been sent.
     *
     * @param arrival scheduled request
     * @param session state of its session when it was sent
     * @param sentNanos time at which it was sent, since the start of the load
     */
    record SentRequest(Arrival arrival, CallerSession session, long sentNanos) {}
}
