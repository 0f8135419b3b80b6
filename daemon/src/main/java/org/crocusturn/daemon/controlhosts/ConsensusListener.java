package org.crocusturn.daemon.controlhosts;

import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;

/**
 * Owns the state that committed commands lead to.
 *
 * <p>All calls come from the consensus thread, but for the first restore, which comes from the
 * thread that starts the node before any other call. Methods must not block; an exception stops the
 * member.
 */
public interface ConsensusListener {
    /** Replaces the state by the one of a snapshot; also called once at the start. */
    void onRestored(Snapshot snapshot);

    /** Applies a committed command; indexes grow, with gaps for entries that hold no command. */
    void onCommitted(long index, ControlCommand command);

    /** Returns the state after all commands that were committed so far. */
    ControlState controlState();

    /** Tells that this host leads and has applied all commands of earlier leaders. */
    void onLeadershipGained(long term);

    /** Tells that this host leads no more. */
    void onLeadershipLost(long term);

    /** Tells the members in force, so that links can be opened; also called once at the start. */
    void onMembershipChanged(Membership membership);

    /**
     * Tells that the member has stopped because of a failure and needs a restart.
     *
     * <p>The node must be closed from another thread.
     */
    void onFailure(RuntimeException failure);
}
