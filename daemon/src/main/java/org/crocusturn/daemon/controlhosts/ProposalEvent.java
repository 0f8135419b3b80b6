package org.crocusturn.daemon.controlhosts;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;

/** Is what the proposal duty reacts to. */
public sealed interface ProposalEvent {
    /** An operator's change came to this host. */
    record Asked(OperatorCommand command, CompletableFuture<ChangeOutcome> answer)
            implements ProposalEvent {
        /** Checks that no part is null. */
        public Asked {
            Objects.requireNonNull(command, "command");
            Objects.requireNonNull(answer, "answer");
        }
    }

    /**
     * An attempt ended.
     *
     * @param attempt number of the attempt
     * @param outcome stored outcome; empty if the attempt failed
     * @param mayHaveRun whether a failed attempt may have been committed
     */
    record Ended(long attempt, Optional<ChangeOutcome> outcome, boolean mayHaveRun)
            implements ProposalEvent {
        /** Checks that the outcome is not null. */
        public Ended {
            Objects.requireNonNull(outcome, "outcome");
        }
    }
}
