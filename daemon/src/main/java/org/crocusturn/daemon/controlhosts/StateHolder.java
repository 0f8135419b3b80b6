package org.crocusturn.daemon.controlhosts;

import java.util.Optional;
import org.crocusturn.core.operators.AppliedDrainOrders;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;
import org.crocusturn.core.ring.SteadyClock;

/** Holds the applied state of a control host. Written by the consensus thread, read by any. */
final class StateHolder {
    private volatile ControlState mState = ControlState.EMPTY;
    private volatile AppliedDrainOrders mDrainOrders = AppliedDrainOrders.NONE;

    ControlState state() {
        return mState;
    }

    AppliedDrainOrders drainOrders() {
        return mDrainOrders;
    }

    void restore(ControlState state) {
        boolean newOrders = !state.drainOrders().equals(mState.drainOrders());
        mState = state;
        if (newOrders) {
            mDrainOrders = mDrainOrders.with(state, SteadyClock.nanoTime());
        }
    }

    ControlState apply(long version, ControlCommand command) {
        restore(ControlStateMachine.apply(mState, version, command).state());
        return mState;
    }

    Optional<ChangeOutcome> outcome(String changeId) {
        return Optional.ofNullable(mState.changes().get(changeId));
    }
}
