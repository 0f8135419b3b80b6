package org.crocusturn.core.endpoints;

import java.util.Objects;

/** Sends every statement to the primary. */
public final class PrimaryRouting implements RoutingPolicy {
    private final String mReason;

    private PrimaryRouting(String reason) {
        mReason = Objects.requireNonNull(reason, "reason");
    }

    /** Creates the policy with the reason to log. */
    public static PrimaryRouting withReason(String reason) {
        return new PrimaryRouting(reason);
    }

    @Override
    public Route route(Query query) {
        return new Route.ToPrimary(mReason);
    }
}
