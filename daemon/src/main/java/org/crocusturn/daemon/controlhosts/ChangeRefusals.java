package org.crocusturn.daemon.controlhosts;

import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;

/** Outcomes of changes that were refused, or whose result is unknown. */
final class ChangeRefusals {
    private ChangeRefusals() {}

    static ChangeOutcome of(String changeId, Failure failure) {
        return new ChangeOutcome(changeId, 0, Optional.of(failure));
    }

    /** Returns the outcome of a proposal that was not committed. */
    static ChangeOutcome of(String changeId, ProposalResult result) {
        if (result instanceof ProposalResult.Rejected rejected) {
            String hint = rejected.leader().map(l -> "; " + l + " leads").orElse("");
            return of(changeId, Failure.notRun(ErrorCode.UNAVAILABLE, rejected.reason() + hint));
        }
        return of(changeId, Failure.mayHaveRun("the leader changed before the outcome was known"));
    }

    static ChangeOutcome overloaded(OperatorCommand command) {
        return of(
                command.changeId(),
                Failure.notRun(
                        ErrorCode.OVERLOADED, "too many changes are queued on this control host"));
    }

    /** Returns the stored outcome of an attempt, or what is known without one. */
    static ChangeOutcome outcome(OperatorCommand command, ProposalEvent.AttemptEnded ended) {
        Failure unknown =
                ended.mayHaveRun()
                        ? Failure.mayHaveRun("the outcome of the change is unknown")
                        : Failure.notRun(ErrorCode.UNAVAILABLE, "this host is not the leader");
        return ended.outcome().orElseGet(() -> of(command.changeId(), unknown));
    }
}
