package org.crocusturn.core.endpoints;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.operators.AcknowledgeMode;

/** Decides whether a committed write may be acknowledged. */
public interface AcknowledgementPolicy {
    /** Returns whether to acknowledge a write that the primary has committed. */
    Acknowledgement decide(Query query);

    /** The decision on a committed write. */
    enum Acknowledgement {
        /** Acknowledge the write. */
        NOW,
        /** Decide again once newer replica positions are known. */
        WAIT,
        /** Never acknowledge the write; its outcome is unknown. */
        NEVER
    }

    /**
     * The committed write and the state that the decision depends on.
     *
     * @param position position of the write
     * @param runTerm term in which the write ran
     * @param leaseValid whether this host holds the group lease at the time of the decision
     * @param acknowledgeTerm term for which the control leader allows acknowledgements; 0 for none
     * @param replicas last known state of the copies other than the primary
     * @param history start indexes of the terms of the group
     */
    record Query(
            LogPosition position,
            long runTerm,
            boolean leaseValid,
            long acknowledgeTerm,
            List<CopyView> replicas,
            TermHistory history) {
        /** Rejects null components. */
        public Query {
            Objects.requireNonNull(position, "position");
            Objects.requireNonNull(replicas, "replicas");
            Objects.requireNonNull(history, "history");
        }
    }

    /** Returns the policy for a service's acknowledgement mode, with the lease and term check. */
    static AcknowledgementPolicy of(AcknowledgeMode mode) {
        return FencedAcknowledgement.of(
                mode == AcknowledgeMode.DURABLE
                        ? DurableAcknowledgement.INSTANCE
                        : PrimaryAcknowledgement.INSTANCE);
    }
}
