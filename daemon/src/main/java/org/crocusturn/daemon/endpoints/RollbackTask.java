package org.crocusturn.daemon.endpoints;

import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.endpoints.SessionResult;

/** Rolls back a transaction so that its connection can be reused. */
final class RollbackTask implements SessionTask {
    private final LeasedGroup mGroup;

    RollbackTask(LeasedGroup group) {
        mGroup = group;
    }

    void start(PooledSession session) {
        session.send(new SessionCommand.Rollback());
    }

    @Override
    public void onOpened(PooledSession session) {
        // A rollback starts only on an open connection.
    }

    @Override
    public void onResult(PooledSession session, SessionResult result) {
        // An earlier rollback may have been answered again, and this one may still fail.
        boolean clean =
                result.certain()
                        && result.error().isEmpty()
                        && result.state() == SessionResult.State.IDLE;
        if (clean) {
            mGroup.returnToPool(session);
        } else {
            mGroup.discard(session);
        }
    }

    @Override
    public void onLost(PooledSession session, ConnectionLoss loss, String text) {
        mGroup.checkHealth(session.copy());
    }
}
