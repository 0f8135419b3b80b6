package org.crocusturn.core.controlhosts;

import org.crocusturn.core.operators.ControlState;

/** Applies committed commands to a copy of the replicated state. */
@FunctionalInterface
public interface StateApplier {
    /** Returns the state after a command, with the version of the command. */
    ControlState apply(ControlState state, StateUpdate.VersionedCommand command);
}
