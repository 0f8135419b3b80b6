package org.crocusturn.core.endpoints;

import java.time.Duration;
import java.util.Optional;

/**
 * Sends a read to a replica whose data does not exceed the maximum age of the read.
 *
 * <p>The age of the data is the lag in the last status of the replica plus the age of that status.
 */
public final class StatedAgeRouting implements RoutingPolicy {
    private final Duration mMaxAge;

    private StatedAgeRouting(Duration maxAge) {
        mMaxAge = maxAge;
    }

    /** Creates the policy for a maximum age. */
    public static StatedAgeRouting of(Duration maxAge) {
        return new StatedAgeRouting(maxAge);
    }

    @Override
    public Route route(Query query) {
        Optional<CopyView> ready =
                query.replicas().stream()
                        .filter(c -> c.inService() && c.follows(query.history()))
                        .filter(c -> c.ageNanos(query.nowNanos()) <= mMaxAge.toNanos())
                        .findFirst();
        String age = " within " + mMaxAge.toMillis() + " ms";
        return ready.<Route>map(c -> new Route.ToReplica(c.endpoint(), "replica" + age))
                .orElseGet(() -> new Route.ToPrimary("no replica" + age));
    }
}
