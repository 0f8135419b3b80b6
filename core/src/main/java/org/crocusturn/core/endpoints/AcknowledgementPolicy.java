package org.crocusturn.core.endpoints;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.operators.AcknowledgeMode;

/** Decides whether a committed write may be acknowledged. */
public interface AcknowledgementPolicy {
    /** Returns what to do with a write that the primary has committed. */
    Acknowledgement decide(Query query);

    /** Tells what to do with a committed write. */
    enum Acknowledgement {
        /** Acknowledge it. */
        NOW,
        /** Ask again when more is known. */
        WAIT,
        /** Never acknowledge it; its outcome is unknown. */
        NEVER
    }

    /**
     * Is the situation of a committed write.
     *
     * @param position position of the write
     * @param runTerm term in which it ran
     * @param leaseValid whether this host holds the group lease at the time of the answer
     * @param acknowledgeTerm term for which the control leader allows acknowledgements; 0 for none
     * @param replicas what is known of the copies other than the primary
     * @param history terms of the group
     */
    record Query(
            LogPosition position,
            long runTerm,
            boolean leaseValid,
            long acknowledgeTerm,
            List<CopyView> replicas,
            TermHistory history) {
        /** Checks that no part is null. */
        public Query {
            Objects.requireNonNull(position, "position");
            Objects.requireNonNull(replicas, "replicas");
            Objects.requireNonNull(history, "history");
        }
    }

    /** Returns the policy of a service's setting, with the lease and term check. */
    static AcknowledgementPolicy of(AcknowledgeMode mode) {
        return FencedAcknowledgement.of(
                mode == AcknowledgeMode.DURABLE
                        ? DurableAcknowledgement.INSTANCE
                        : PrimaryAcknowledgement.INSTANCE);
    }
}
