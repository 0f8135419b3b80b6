package org.crocusturn.core.endpoints;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.operators.EndpointRecord;

/**
 * Is one copy of a group as the control leader sees it at one moment.
 *
 * @param endpoint endpoint that holds the copy
 * @param status last known status, if the copy was ever seen
 * @param seenNanos time of that status
 * @param failure why the endpoint counts as failed, if it does
 * @param inService whether the endpoint may get new work
 */
public record CopyHealth(
        EndpointRecord endpoint,
        Optional<CopyStatus> status,
        long seenNanos,
        Optional<String> failure,
        boolean inService) {
    /** Checks that no part is null. */
    public CopyHealth {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(status, "status");
        Objects.requireNonNull(failure, "failure");
    }

    /** Returns the endpoint's name. */
    public EndpointId id() {
        return endpoint.id();
    }

    /** Returns whether the copy was seen and its endpoint has not failed. */
    public boolean reachable() {
        return status.isPresent() && failure.isEmpty();
    }

    /** Returns the last known position; zero if the copy was never seen. */
    public LogPosition position() {
        return status.map(CopyStatus::position).orElse(LogPosition.ZERO);
    }

    /** Returns the last known term; zero if the copy was never seen. */
    public long term() {
        return status.map(CopyStatus::term).orElse(0L);
    }
}
