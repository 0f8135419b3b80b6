package org.crocusturn.daemon.operators;

import java.util.concurrent.CompletableFuture;
import org.crocusturn.core.HostId;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;

/** Is what the operators' interface needs of its control host; safe for any thread. */
public interface ControlAccess {
    /**
     * Proposes a change, through the leader if another host leads.
     *
     * @return the stored outcome; a refusal with verdict "may have run" if it is not known whether
     *     the change was committed
     */
    CompletableFuture<ChangeOutcome> propose(OperatorCommand command);

    /** Adds a control host as a learner that becomes a voter when it has caught up. */
    CompletableFuture<ChangeOutcome> addMember(HostId host, String linkAddress);

    /** Removes a control host from the consensus group. */
    CompletableFuture<ChangeOutcome> removeMember(HostId host);

    /** Returns what this host knows now. */
    CompletableFuture<ControlStatus> status();
}
