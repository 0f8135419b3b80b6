package org.crocusturn.daemon.endpoints;

import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.endpoints.SessionResult;

/** Ends a transaction so that its connection can serve others. */
final class RollbackTask implements SessionTask {
    private final HeldGroup mGroup;

    RollbackTask(HeldGroup group) {
        mGroup = group;
    }

    void start(PooledSession session) {
        session.send(new SessionCommand.Rollback());
    }

    @Override
    public void opened(PooledSession session) {
        // The connection is open already.
    }

    @Override
    public void result(PooledSession session, SessionResult result) {
        boolean clean = result.error().isEmpty() && result.state() == SessionResult.State.IDLE;
        if (clean) {
            mGroup.idle(session);
        } else {
            mGroup.discard(session);
        }
    }

    @Override
    public void lost(PooledSession session, ConnectionLoss loss, String text) {
        mGroup.doubt(session.copy());
    }
}
