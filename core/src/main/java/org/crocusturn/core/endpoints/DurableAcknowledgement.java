package org.crocusturn.core.endpoints;

/** Acknowledges a write once a replica of the current term has received it. */
public final class DurableAcknowledgement implements AcknowledgementPolicy {
    /** The singleton instance. */
    public static final DurableAcknowledgement INSTANCE = new DurableAcknowledgement();

    private DurableAcknowledgement() {}

    @Override
    public Acknowledgement decide(Query query) {
        boolean held =
                query.replicas().stream()
                        .anyMatch(c -> c.hasReached(query.position(), query.history()));
        return held ? Acknowledgement.NOW : Acknowledgement.WAIT;
    }
}
