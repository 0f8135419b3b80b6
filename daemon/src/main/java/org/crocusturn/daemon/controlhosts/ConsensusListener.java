package org.crocusturn.daemon.controlhosts;

import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;

/**
 * Owns the state that results from the committed commands.
 *
 * <p>All methods are called from the consensus thread, except for the first calls of {@link
 * #onRestored} and {@link #onMembershipChanged}, which the thread that starts the node makes before
 * any other call. Methods must not block. An exception stops the member.
 */
public interface ConsensusListener {
    /** Replaces the state with that of a snapshot. Also called once at the start. */
    void onRestored(Snapshot snapshot);

    /**
     * Applies a committed command.
     *
     * @param index index of the log entry; it increases, with gaps for entries without a command
     * @param command the command
     */
    void onCommitted(long index, ControlCommand command);

    /**
     * Returns whether further commands may be applied now. Committed commands wait in the log while
     * this returns false.
     */
    default boolean acceptsCommands() {
        return true;
    }

    /** Returns the state after all commands that have been applied. */
    ControlState controlState();

    /** Called when this host has become leader and has applied all commands of earlier leaders. */
    void onLeadershipGained(long term);

    /** Called when this host is no longer the leader of a term. */
    void onLeadershipLost(long term);

    /**
     * Called with the current members so that links can be opened. Also called once at the start.
     */
    void onMembershipChanged(Membership membership);

    /**
     * Called when the member has stopped because of a failure and needs a restart.
     *
     * <p>The node must be closed from another thread than the one of this call.
     */
    void onFailure(RuntimeException failure);
}
