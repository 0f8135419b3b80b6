package org.crocusturn.daemon.entryhosts;

import org.crocusturn.core.HostId;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.entryhosts.ForwardedRequest;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionEnd;
import org.crocusturn.core.entryhosts.SessionReply;

/** Takes the events of links between entry hosts; called from I/O threads. */
public interface EntryLinksListener {
    /** Takes a request; the origin names the link that it came over. */
    void onRequest(HostId origin, ForwardedRequest request);

    /** Takes the reply to an attempt of this host. */
    void onReply(long attempt, Outcome outcome);

    /** Takes the loss of the link to a host. */
    void onLinkLost(HostId host);

    /** Takes a statement of a session; the origin names the link that it came over. */
    default void onSessionCall(HostId origin, SessionCall call) {}

    /** Takes the end of a session's transaction. */
    default void onSessionEnd(HostId origin, SessionEnd end) {}

    /** Takes the answer to a statement that this host sent. */
    default void onSessionReply(SessionReply reply) {}

    /** Takes the loss of the link that an origin names. */
    default void onOriginLost(HostId origin) {}
}
