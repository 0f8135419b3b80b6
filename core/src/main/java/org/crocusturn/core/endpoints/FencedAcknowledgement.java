package org.crocusturn.core.endpoints;

import java.util.Objects;

/**
 * Refuses acknowledgement without a valid lease or in a superseded term, and otherwise delegates to
 * another policy.
 */
public final class FencedAcknowledgement implements AcknowledgementPolicy {
    private final AcknowledgementPolicy mInner;

    private FencedAcknowledgement(AcknowledgementPolicy inner) {
        mInner = Objects.requireNonNull(inner, "inner");
    }

    /** Creates a policy that checks lease and term before it delegates. */
    public static FencedAcknowledgement of(AcknowledgementPolicy inner) {
        return new FencedAcknowledgement(inner);
    }

    @Override
    public Acknowledgement decide(Query query) {
        return query.leaseValid() && query.runTerm() == query.acknowledgeTerm()
                ? mInner.decide(query)
                : Acknowledgement.NEVER;
    }
}
