package org.crocusturn.core.endpoints;

import java.util.Objects;

/**
 * Refuses acknowledgement without a valid lease or in a superseded term, and otherwise delegates to
 * another policy.
 */
public final class FencedAcknowledgement implements AcknowledgementPolicy {
    private final AcknowledgementPolicy mDelegate;

    private FencedAcknowledgement(AcknowledgementPolicy delegate) {
        mDelegate = Objects.requireNonNull(delegate, "delegate");
    }

    /** Creates a policy that checks lease and term before it delegates. */
    public static FencedAcknowledgement of(AcknowledgementPolicy delegate) {
        return new FencedAcknowledgement(delegate);
    }

    @Override
    public Acknowledgement decide(Query query) {
        return query.leaseValid() && query.runTerm() == query.acknowledgeTerm()
                ? mDelegate.decide(query)
                : Acknowledgement.NEVER;
    }
}
