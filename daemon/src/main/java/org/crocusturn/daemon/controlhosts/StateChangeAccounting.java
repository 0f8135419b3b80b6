package org.crocusturn.daemon.controlhosts;

import java.util.Objects;
import org.crocusturn.core.ring.ByteBudget;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.daemon.entryhosts.LeaderEvent;

/**
 * Releases the bytes of state changes once the leader duty has handled them. The ring of the duty
 * limits their number only, and each may refer to a configuration of its own.
 */
final class StateChangeAccounting implements DutyHandler<LeaderEvent> {
    private final DutyHandler<LeaderEvent> mHandler;
    private final ByteBudget mBudget;

    private StateChangeAccounting(DutyHandler<LeaderEvent> handler, ByteBudget budget) {
        mHandler = handler;
        mBudget = budget;
    }

    /** Creates a handler that passes all calls on; the budget has the bytes of waiting events. */
    static StateChangeAccounting of(DutyHandler<LeaderEvent> handler, ByteBudget budget) {
        return new StateChangeAccounting(
                Objects.requireNonNull(handler, "handler"),
                Objects.requireNonNull(budget, "budget"));
    }

    /** Returns the approximate size in memory of what only this event refers to, in bytes. */
    static long approximateBytes(LeaderEvent event) {
        return event instanceof LeaderEvent.CommandApplied applied
                ? applied.command().approximateBytes()
                : 0;
    }

    @Override
    public void onEvent(LeaderEvent event) {
        try {
            mHandler.onEvent(event);
        } finally {
            mBudget.release(approximateBytes(event));
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        return mHandler.onTimer(nowNanos);
    }
}
