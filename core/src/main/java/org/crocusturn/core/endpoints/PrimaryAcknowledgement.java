package org.crocusturn.core.endpoints;

/** Acknowledges a write as soon as the primary has committed it. */
public final class PrimaryAcknowledgement implements AcknowledgementPolicy {
    /** The singleton instance. */
    public static final PrimaryAcknowledgement INSTANCE = new PrimaryAcknowledgement();

    private PrimaryAcknowledgement() {}

    @Override
    public Acknowledgement decide(Query query) {
        return Acknowledgement.NOW;
    }
}
