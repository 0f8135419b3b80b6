package org.crocusturn.core.endpoints;

import java.time.Duration;
import java.util.Optional;

/**
 * Sends a read to a replica whose data is not older than the read accepts.
 *
 * <p>The age of the data is the replica's lag when it was last seen plus the time since then.
 */
public final class StatedAgeRouting implements RoutingPolicy {
    private final Duration mMaxAge;

    private StatedAgeRouting(Duration maxAge) {
        mMaxAge = maxAge;
    }

    /** Creates the policy for an age that the read accepts. */
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
