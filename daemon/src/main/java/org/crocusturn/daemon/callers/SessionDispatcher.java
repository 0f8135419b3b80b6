package org.crocusturn.daemon.callers;

import java.util.Optional;
import org.crocusturn.core.entryhosts.LeaseholderLink;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionEnd;
import org.crocusturn.core.operators.Leaseholder;

/** Sends calls to leaseholders on this host or others; called from a single thread. */
public interface SessionDispatcher {
    /** Sends a call; returns false if it was not sent. */
    boolean call(Leaseholder leaseholder, SessionCall call);

    /** Returns the state of the link to a leaseholder; empty if it runs in this process. */
    default Optional<LeaseholderLink> link(Leaseholder leaseholder) {
        return Optional.empty();
    }

    /** Notifies a leaseholder that a session has ended its transaction. */
    void end(Leaseholder leaseholder, SessionEnd end);
}
