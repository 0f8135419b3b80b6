package org.crocusturn.daemon.endpoints;

import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.SessionResult;

/** Hears of one connection to an endpoint; called from I/O threads. */
public interface EndpointSessionListener {
    /** Tells that the endpoint takes commands. */
    void onOpened();

    /** Tells the result of the oldest command without one. */
    void onResult(SessionResult result);

    /** Tells that the connection is lost; nothing is told after it. */
    void onLost(ConnectionLoss loss, String text);
}
