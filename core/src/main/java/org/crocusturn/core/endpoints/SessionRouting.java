package org.crocusturn.core.endpoints;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import org.crocusturn.core.LogPosition;

/**
 * Sends a read to a replica that has reached what the session has seen.
 *
 * <p>If no replica has, but the last known lag suggests that one will within the wait budget, the
 * read waits; otherwise it goes to the primary.
 */
public final class SessionRouting implements RoutingPolicy {
    private final long mBudgetNanos;

    private SessionRouting(Duration budget) {
        mBudgetNanos = budget.toNanos();
    }

    /** Creates the policy with the longest time that a read waits for a replica. */
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
        boolean soon =
                query.replicas().stream()
                        .filter(c -> c.inService() && c.follows(query.history()))
                        .map(c -> expectedNanos(c, query))
                        .min(Comparator.naturalOrder())
                        .map(expected -> expected <= until - query.nowNanos())
                        .orElse(false);
        return soon && query.nowNanos() < until
                ? new Route.Wait(until, "a replica is expected to reach " + query.required())
                : new Route.ToPrimary("no replica reached " + query.required());
    }

    @Override
    public boolean accepts(Query query, LogPosition seen) {
        return query.history().carries(seen) && seen.index() >= query.required().index();
    }

    /** Estimates in how many nanoseconds a replica has what the primary had when it was asked. */
    private static long expectedNanos(CopyView copy, Query query) {
        long lag = copy.status().get().lagMillis();
        return lag > Long.MAX_VALUE / 4_000_000
                ? Long.MAX_VALUE
                : lag * 1_000_000 - (query.nowNanos() - query.firstRoutedNanos());
    }
}
