package org.crocusturn.daemon.controlhosts;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;

/** An event of {@link ProposalDuty}. */
public sealed interface ProposalEvent {
    /**
     * An operator submitted a change to this host.
     *
     * @param command the change
     * @param outcome future of its outcome
     * @param limit time after which the operator is answered and no attempt starts
     */
    record Submitted(
            OperatorCommand command, CompletableFuture<ChangeOutcome> outcome, Duration limit)
            implements ProposalEvent {
        /** Checks that no part is null. */
        public Submitted {
            Objects.requireNonNull(command, "command");
            Objects.requireNonNull(outcome, "outcome");
            Objects.requireNonNull(limit, "limit");
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
