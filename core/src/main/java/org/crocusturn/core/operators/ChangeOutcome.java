package org.crocusturn.core.operators;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.Failure;

/**
 * Is the stored answer to an operator's change.
 *
 * @param changeId id that the operator chose
 * @param version state version at which the change was decided
 * @param refusal why the change was refused; empty if it was accepted
 */
public record ChangeOutcome(String changeId, long version, Optional<Failure> refusal) {
    /** Checks that no part is null. */
    public ChangeOutcome {
        Objects.requireNonNull(changeId, "changeId");
        Objects.requireNonNull(refusal, "refusal");
    }

    /** Returns whether the change is in force. */
    public boolean accepted() {
        return refusal.isEmpty();
    }
}
