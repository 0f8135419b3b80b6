package org.crocusturn.daemon.entryhosts;

import org.crocusturn.core.HostId;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.entryhosts.ForwardedRequest;

/** Takes the events of links between entry hosts; called from I/O threads. */
public interface EntryLinksListener {
    /** Takes a request; the origin names the link that it came over. */
    void requested(HostId origin, ForwardedRequest request);

    /** Takes the reply to an attempt of this host. */
    void replied(long attempt, Outcome outcome);

    /** Takes the loss of the link to a host. */
    void lost(HostId host);
}
