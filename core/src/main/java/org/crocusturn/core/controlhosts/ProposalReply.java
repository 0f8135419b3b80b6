package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;

/**
 * Answers a forwarded proposal once its command is committed and applied.
 *
 * @param id id of the proposal
 * @param outcome result of the proposal; a refusal with verdict "may have run" if the leader does
 *     not know whether the command was committed
 */
public record ProposalReply(long id, ChangeOutcome outcome) implements PeerMessage {
    /** Checks that the outcome is not null. */
    public ProposalReply {
        Objects.requireNonNull(outcome, "outcome");
    }

    /**
     * Returns whether this is the reply to a proposal. A restarted process numbers its proposals
     * anew and may get the reply to one of the process before it, so the change has to agree too.
     */
    public boolean answers(ForwardedProposal proposal) {
        return id == proposal.id()
                && proposal.command() instanceof OperatorCommand command
                && command.changeId().equals(outcome.changeId());
    }
}
