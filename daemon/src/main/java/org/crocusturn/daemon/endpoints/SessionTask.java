package org.crocusturn.daemon.endpoints;

import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.SessionResult;

/** Uses a connection; called from the thread that owns the groups. */
interface SessionTask {
    /** Tells that the connection takes commands. */
    void opened(PooledSession session);

    /** Tells the result of the oldest command without one. */
    void result(PooledSession session, SessionResult result);

    /** Tells that the connection is lost. */
    void lost(PooledSession session, ConnectionLoss loss, String text);
}
