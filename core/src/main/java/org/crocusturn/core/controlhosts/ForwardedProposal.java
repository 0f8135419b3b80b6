package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.operators.ControlCommand;

/**
 * Forwards an operator's command from the control host that received it to the leader.
 *
 * @param id number that is unique within the sender
 * @param command command to commit
 */
public record ForwardedProposal(long id, ControlCommand command) implements PeerMessage {
    /** Checks that the command is not null. */
    public ForwardedProposal {
        Objects.requireNonNull(command, "command");
    }
}
