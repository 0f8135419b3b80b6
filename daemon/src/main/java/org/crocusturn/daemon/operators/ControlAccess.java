package org.crocusturn.daemon.operators;

import java.util.concurrent.CompletableFuture;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;

/** Operations of a control host that the operator interface uses. Thread-safe. */
public interface ControlAccess {
    /**
     * Proposes a change; forwards it to the leader if this host is not the leader.
     *
     * @return the stored outcome, or a refusal with the verdict "may have run" if it is unknown
     *     whether the change was committed
     */
    CompletableFuture<ChangeOutcome> propose(OperatorCommand command);

    /**
     * Returns the state version of the latest order to drain or restore a data centre that the
     * sender of another one may have known.
     *
     * @param dataCentre the data centre
     * @param earliestSentNanos steady time before which the request cannot have been sent
     */
    long precedingDrainOrder(DataCentreId dataCentre, long earliestSentNanos);

    /** Adds a control host as a learner, which becomes a voter once its log has caught up. */
    CompletableFuture<ChangeOutcome> addMember(HostId host, String linkAddress);

    /** Removes a control host from the consensus group. */
    CompletableFuture<ChangeOutcome> removeMember(HostId host);

    /** Returns the current status as known to this host. */
    CompletableFuture<ControlStatus> status();
}
