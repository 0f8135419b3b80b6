package org.crocusturn.daemon.controlhosts;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;

/** An event of {@link ProposalDuty}. */
public sealed interface ProposalEvent {
    /** An operator submitted a change to this host. */
    record Submitted(OperatorCommand command, CompletableFuture<ChangeOutcome> outcome)
            implements ProposalEvent {
        /** Checks that no part is null. */
        public Submitted {
            Objects.requireNonNull(command, "command");
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /**
     * An attempt ended.
     *
     * @param attempt number of the attempt
     * @param outcome stored outcome; empty if the attempt failed
     * @param mayHaveRun whether a failed attempt may have been committed
     */
    record AttemptEnded(long attempt, Optional<ChangeOutcome> outcome, boolean mayHaveRun)
            implements ProposalEvent {
        /** Checks that the outcome is not null. */
        public AttemptEnded {
            Objects.requireNonNull(outcome, "outcome");
        }
    }
}
