package org.crocusturn.daemon.controlhosts;

import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;

/** Connects the proposal duty with its control host; called from the thread of the duty. */
public interface ProposalContext {
    /** Returns whether this host leads. */
    boolean isLeader();

    /** Returns the host that leads as far as this one knows. */
    Optional<HostId> leaderHint();

    /** Proposes on this host; the end comes back as an event with the attempt's number. */
    void proposeLocally(long attempt, OperatorCommand command);

    /** Forwards to the leader and returns whether it was sent; the end comes back as an event. */
    boolean forward(HostId leader, long attempt, OperatorCommand command);
}
