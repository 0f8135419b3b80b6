package org.crocusturn.daemon.endpoints;

import org.crocusturn.core.endpoints.AnswerMatch;
import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.SessionResult;

/** Receives the events of one connection to an endpoint; called from I/O threads. */
public interface EndpointSessionListener {
    /** Called when the connection accepts commands. */
    void onOpened();

    /** Called with the result of the oldest outstanding command. */
    void onResult(SessionResult result);

    /** Called when an answer arrives that is not that of the outstanding command. */
    void onSuspectAnswer(AnswerMatch match, String text);

    /** Called when the connection is lost; no other call follows. */
    void onLost(ConnectionLoss loss, String text);
}
