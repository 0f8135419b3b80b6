package org.crocusturn.core.endpoints;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.operators.EndpointRecord;

/**
 * Snapshot of one copy of a group as known to the control leader.
 *
 * @param endpoint endpoint that holds the copy
 * @param status last known status; empty if none was ever received
 * @param lastSeenNanos time at which that status was received
 * @param failure why the endpoint is considered failed; empty if it is not
 * @param inService whether the endpoint may receive new requests
 */
public record CopyHealth(
        EndpointRecord endpoint,
        Optional<CopyStatus> status,
        long lastSeenNanos,
        Optional<String> failure,
        boolean inService) {
    /** Rejects null components. */
    public CopyHealth {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(status, "status");
        Objects.requireNonNull(failure, "failure");
    }

    /** Returns the identifier of the endpoint. */
    public EndpointId id() {
        return endpoint.id();
    }

    /** Returns whether a status of the copy is known and its endpoint has not failed. */
    public boolean reachable() {
        return status.isPresent() && failure.isEmpty();
    }

    /** Returns the last known position; zero if no status is known. */
    public LogPosition position() {
        return status.map(CopyStatus::position).orElse(LogPosition.ZERO);
    }

    /** Returns the last known term; zero if no status is known. */
    public long term() {
        return status.map(CopyStatus::term).orElse(0L);
    }
}
