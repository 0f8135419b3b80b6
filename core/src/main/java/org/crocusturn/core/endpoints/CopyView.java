package org.crocusturn.core.endpoints;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.Role;

/**
 * A leaseholder's view of one copy of its group.
 *
 * @param endpoint endpoint of the copy
 * @param limits limits of the database
 * @param inService whether the endpoint may receive new requests
 * @param status last known status; empty if there is none
 * @param lastSeenNanos monotonic time at which that status was received
 */
public record CopyView(
        EndpointId endpoint,
        CopyLimits limits,
        boolean inService,
        Optional<CopyStatus> status,
        long lastSeenNanos) {
    /** Rejects null components. */
    public CopyView {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(status, "status");
    }

    /** Returns whether the copy is a replica of the newest term without discarded entries. */
    public boolean follows(TermHistory history) {
        return status.isPresent()
                && status.get().role() == Role.REPLICA
                && status.get().term() == history.term()
                && history.contains(status.get().position());
    }

    /**
     * Returns whether the copy is a replica of the newest term and has reached a position of it.
     */
    public boolean hasReached(LogPosition position, TermHistory history) {
        return follows(history) && status.get().position().index() >= position.index();
    }

    /** Returns an upper bound of the age of the data at the given time, in nanoseconds. */
    public long ageNanos(long nowNanos) {
        long lag = status.map(CopyStatus::lagMillis).orElse(Long.MAX_VALUE);
        long sinceStatus = Math.max(0, nowNanos - lastSeenNanos);
        return lag > Long.MAX_VALUE / 4_000_000 ? Long.MAX_VALUE : lag * 1_000_000 + sinceStatus;
    }

    /** Returns a copy with a newer status. */
    public CopyView withStatus(CopyStatus newStatus, long nowNanos) {
        return new CopyView(endpoint, limits, inService, Optional.of(newStatus), nowNanos);
    }
}
