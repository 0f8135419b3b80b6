package org.crocusturn.standin.measure;

import java.util.Optional;
import org.crocusturn.daemon.net.HttpResponse;

/** Is what the duty of a load is told. */
sealed interface LoadEvent {
    /**
     * A request ended.
     *
     * @param call the request
     * @param answer its answer; empty if the connection failed
     * @param nanos monotonic time of the end
     */
    record Ended(Call call, Optional<HttpResponse> answer, long nanos) implements LoadEvent {}

    /**
     * Is a request that was sent.
     *
     * @param arrival arrival that caused it
     * @param session the session when it was sent
     * @param sentNanos time since the start of the load at which it was sent
     */
    record Call(Arrival arrival, CallerSession session, long sentNanos) {}
}
