package org.crocusturn.daemon.callers;

import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionEnd;
import org.crocusturn.core.operators.Leaseholder;

/** Brings calls to leaseholders, on this host or another; called from one thread. */
public interface SessionDispatcher {
    /** Sends a call; false if it was not sent. */
    boolean call(Leaseholder holder, SessionCall call);

    /** Tells a leaseholder that a session gave up its transaction. */
    void end(Leaseholder holder, SessionEnd end);
}
