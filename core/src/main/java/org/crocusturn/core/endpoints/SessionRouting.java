package org.crocusturn.core.endpoints;

import java.time.Duration;
import java.util.Optional;
import org.crocusturn.core.LogPosition;

/**
 * Sends a read to a replica that has reached the position required by the session.
 *
 * <p>If there is none, the read waits if the last known lag suggests that a replica will reach the
 * position within the wait limit; otherwise it goes to the primary.
 */
public final class SessionRouting implements RoutingPolicy {
    private final long mMaxWaitNanos;

    private SessionRouting(Duration maxWait) {
        mMaxWaitNanos = maxWait.toNanos();
    }

    /** Creates the policy with the maximum time that a read waits for a replica. */
    public static SessionRouting of(Duration maxWait) {
        return new SessionRouting(maxWait);
    }

    @Override
    public Route route(Query query) {
        Optional<CopyView> ready =
                query.replicas().stream()
                        .filter(
                                c ->
                                        c.inService()
                                                && c.hasReached(query.required(), query.history()))
                        .findFirst();
        if (ready.isPresent()) {
            return new Route.ToReplica(
                    ready.get().endpoint(),
                    "replica at "
                            + ready.get().status().get().position()
                            + " reached "
                            + query.required());
        }
        long deadline = query.firstRoutedNanos() + mMaxWaitNanos;
        // A replica whose lag is within the limit reaches the primary's current position by then.
        boolean expected =
                query.replicas().stream()
                        .filter(c -> c.inService() && c.follows(query.history()))
                        .anyMatch(c -> c.status().get().lagMillis() <= mMaxWaitNanos / 1_000_000);
        return expected && query.nowNanos() < deadline
                ? new Route.Wait(deadline, "a replica is expected to reach " + query.required())
                : new Route.ToPrimary("no replica reached " + query.required());
    }

    @Override
    public boolean accepts(Query query, LogPosition readPosition) {
        return query.history().contains(readPosition)
                && readPosition.index() >= query.required().index();
    }
}
