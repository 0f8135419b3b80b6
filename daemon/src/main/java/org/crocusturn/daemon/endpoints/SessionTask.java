package org.crocusturn.daemon.endpoints;

import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.SessionResult;

/** Exclusive user of a pooled connection; called from the thread that owns the groups. */
interface SessionTask {
    /** Called when the connection accepts commands. */
    void onOpened(PooledSession session);

    /** Called with the result of the oldest outstanding command. */
    void onResult(PooledSession session, SessionResult result);

    /** Called when the connection is lost. */
    void onLost(PooledSession session, ConnectionLoss loss, String text);
}
