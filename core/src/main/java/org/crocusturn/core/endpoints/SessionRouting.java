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
    private final long mBudgetNanos;

    private SessionRouting(Duration budget) {
        mBudgetNanos = budget.toNanos();
    }

    /** Creates the policy with the maximum time that a read waits for a replica. */
    public static SessionRouting of(Duration budget) {
        return new SessionRouting(budget);
    }

    @Override
    public Route route(Query query) {
        Optional<CopyView> ready =
                query.replicas().stream()
                        .filter(c -> c.inService() && c.holds(query.required(), query.history()))
                        .findFirst();
        if (ready.isPresent()) {
            return new Route.ToReplica(
                    ready.get().endpoint(),
                    "replica at "
                            + ready.get().status().get().position()
                            + " reached "
                            + query.required());
        }
        long until = query.firstRoutedNanos() + mBudgetNanos;
        // A replica whose lag is within the limit reaches the primary's current position by then.
        boolean soon =
                query.replicas().stream()
                        .filter(c -> c.inService() && c.follows(query.history()))
                        .anyMatch(c -> c.status().get().lagMillis() <= mBudgetNanos / 1_000_000);
        return soon && query.nowNanos() < until
                ? new Route.Wait(until, "a replica is expected to reach " + query.required())
                : new Route.ToPrimary("no replica reached " + query.required());
    }

    @Override
    public boolean accepts(Query query, LogPosition seen) {
        return query.history().carries(seen) && seen.index() >= query.required().index();
    }
}
