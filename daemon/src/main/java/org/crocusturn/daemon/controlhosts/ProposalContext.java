package org.crocusturn.daemon.controlhosts;

import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;

/** Gives the proposal duty access to its control host. Called from the thread of the duty. */
public interface ProposalContext {
    /** Returns whether this host is the leader. */
    boolean isLeader();

    /** Returns the leader that this host knows, if any. */
    Optional<HostId> leaderHint();

    /**
     * Proposes a change on this host. The result arrives as a {@link ProposalEvent.AttemptEnded}.
     */
    void proposeLocally(long attempt, OperatorCommand command);

    /**
     * Forwards a change to the leader. The result arrives as a {@link ProposalEvent.AttemptEnded}.
     *
     * @return whether the change was sent
     */
    boolean forward(HostId leader, long attempt, OperatorCommand command);
}
