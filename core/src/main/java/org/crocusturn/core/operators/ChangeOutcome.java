package org.crocusturn.core.operators;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.Failure;

/**
 * The stored outcome of an operator's change.
 *
 * @param changeId id that the operator gave the change
 * @param version state version at which the change was decided
 * @param refusal reason for rejecting the change; empty if it was accepted
 */
public record ChangeOutcome(String changeId, long version, Optional<Failure> refusal) {
    /** Checks that no component is null. */
    public ChangeOutcome {
        Objects.requireNonNull(changeId, "changeId");
        Objects.requireNonNull(refusal, "refusal");
    }

    /** Returns whether the change is in force. */
    public boolean accepted() {
        return refusal.isEmpty();
    }
}
