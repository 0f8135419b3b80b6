package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Optional;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.OpeningReason;
import org.crocusturn.core.endpoints.SessionResult;

/**
 * Opens a connection to a copy for each workspace before the first statement needs it.
 *
 * <p>Opening a connection occupies a slot for 12 to 30 ms. When the callers of all workspaces start
 * at the same time, as in the morning, their first statements would otherwise wait for it. The
 * connections are opened one after another, so that they occupy a single slot.
 */
final class ConnectionWarmUp implements SessionTask {
    private static final Duration OPEN_TIMEOUT = Duration.ofMillis(700);

    private final LeasedGroup mGroup;
    private final CopyPool mCopy;
    private final GroupContext mContext;

    ConnectionWarmUp(LeasedGroup group, CopyPool copy, GroupContext context) {
        mGroup = group;
        mCopy = copy;
        mContext = context;
    }

    /** Starts to open connections, unless another warm-up of the copy is running. */
    void start() {
        if (!mCopy.isWarmingUp()) {
            openNext();
        }
    }

    /** Opens a connection for the next workspace of the plan that has none. */
    private void openNext() {
        Optional<WorkspaceId> next =
                mGroup.planner().plan().workspaces(mCopy.record().id()).stream()
                        .filter(workspace -> !mCopy.isConnected(workspace))
                        .findFirst()
                        .filter(w -> mCopy.canOpenConnection() && mGroup.isServing(mCopy));
        mCopy.setWarmingUp(next.isPresent());
        next.ifPresent(this::open);
    }

    private void open(WorkspaceId workspace) {
        mContext.metrics().recordConnectionOpened(OpeningReason.WARM_UP);
        mContext.open(mCopy, workspace, OPEN_TIMEOUT, this);
    }

    @Override
    public void onOpened(PooledSession session) {
        mGroup.returnToPool(session);
        openNext();
    }

    @Override
    public void onResult(PooledSession session, SessionResult result) {
        mGroup.onUnexpectedResult(session);
    }

    @Override
    public void onLost(PooledSession session, ConnectionLoss loss, String text) {
        mCopy.setWarmingUp(false);
        mContext.logEvent(
                "warm-up of connections to " + mCopy.record().id() + " was stopped: " + loss);
    }
}
