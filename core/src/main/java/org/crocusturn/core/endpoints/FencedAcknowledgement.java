package org.crocusturn.core.endpoints;

import java.util.Objects;

/**
 * Refuses to acknowledge without a valid lease or in a superseded term; asks another policy else.
 */
public final class FencedAcknowledgement implements AcknowledgementPolicy {
    private final AcknowledgementPolicy mInner;

    private FencedAcknowledgement(AcknowledgementPolicy inner) {
        mInner = Objects.requireNonNull(inner, "inner");
    }

    /** Creates the check in front of a policy. */
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
