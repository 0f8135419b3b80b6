package org.crocusturn.daemon.controlhosts;

import java.util.Optional;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;

/** Holds the applied state of a control host. Written by the consensus thread, read by any. */
final class StateHolder {
    private volatile ControlState mState = ControlState.EMPTY;

    ControlState state() {
        return mState;
    }

    void restore(ControlState state) {
        mState = state;
    }

    ControlState apply(long version, ControlCommand command) {
        mState = ControlStateMachine.apply(mState, version, command).state();
        return mState;
    }

    Optional<ChangeOutcome> outcome(String changeId) {
        return Optional.ofNullable(mState.changes().get(changeId));
    }
}
