package org.crocusturn.core.controlhosts;

import org.crocusturn.core.operators.ControlState;

/** Applies one committed command to a copy of the replicated state. */
@FunctionalInterface
public interface StateApplier {
    /** Returns the state that a command leads to; its version is that of the command. */
    ControlState apply(ControlState state, StateUpdate.VersionedCommand command);
}
