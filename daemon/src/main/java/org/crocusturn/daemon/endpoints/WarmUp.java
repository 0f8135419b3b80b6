package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.SessionResult;

/**
 * Opens a connection to a copy for each workspace before the first statement needs it.
 *
 * <p>Opening a connection occupies a slot for 12 to 30 ms. When the callers of all workspaces start
 * at the same time, as in the morning, their first statements would otherwise wait for it. The
 * connections are opened one after another, so that they occupy a single slot.
 */
final class WarmUp implements SessionTask {
    private static final Duration OPEN_TIMEOUT = Duration.ofMillis(700);

    private final HeldGroup mGroup;
    private final CopyPool mCopy;
    private final GroupPorts mPorts;

    WarmUp(HeldGroup group, CopyPool copy, GroupPorts ports) {
        mGroup = group;
        mCopy = copy;
        mPorts = ports;
    }

    /** Opens a connection for the next workspace that has none. */
    void next() {
        mGroup.settings().workspaces().stream()
                .filter(workspace -> !isConnected(workspace))
                .findFirst()
                .filter(workspace -> mCopy.hasRoom() && mGroup.isServing(mCopy))
                .ifPresent(workspace -> mPorts.open(mCopy, workspace, OPEN_TIMEOUT, this));
    }

    private boolean isConnected(WorkspaceId workspace) {
        return mCopy.sessions().stream().anyMatch(s -> s.workspace().equals(workspace));
    }

    @Override
    public void opened(PooledSession session) {
        mGroup.idle(session);
        next();
    }

    @Override
    public void result(PooledSession session, SessionResult result) {
        mGroup.unexpected(session);
    }

    @Override
    public void lost(PooledSession session, ConnectionLoss loss, String text) {
        mPorts.note("warm-up of connections to " + mCopy.record().id() + " stopped: " + loss);
    }
}
