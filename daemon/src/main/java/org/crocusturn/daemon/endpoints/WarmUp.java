package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.SessionResult;

/**
 * Opens a connection of each workspace to a copy before the first statement needs it.
 *
 * <p>Answers the load of a morning at which all callers come at once: an opening takes a slot for
 * 12 to 30 ms, which the first statements of all workspaces would otherwise wait for. The openings
 * follow each other, so that they take one slot.
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

    /** Opens the next connection that is missing; at most one for each workspace. */
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
        mPorts.note("a connection to " + mCopy.record().id() + " is not opened ahead: " + loss);
    }
}
