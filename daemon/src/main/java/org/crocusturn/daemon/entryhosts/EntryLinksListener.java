package org.crocusturn.daemon.entryhosts;

import org.crocusturn.core.HostId;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.entryhosts.ForwardedRequest;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionEnd;
import org.crocusturn.core.entryhosts.SessionReply;

/** Receives the events of links between entry hosts. Called from I/O threads. */
public interface EntryLinksListener {
    /** Called for a request; the origin identifies the link that it came over. */
    void onRequest(HostId origin, ForwardedRequest request);

    /** Called for the reply to an attempt of this host. */
    void onReply(long attempt, Outcome outcome);

    /** Called when the outgoing link to a host was closed. */
    void onLinkLost(HostId host);

    /** Called for a statement of a session; the origin identifies the link that it came over. */
    default void onSessionCall(HostId origin, SessionCall call) {}

    /** Called when the transaction of a session has to end. */
    default void onSessionEnd(HostId origin, SessionEnd end) {}

    /** Called for the reply to a statement that this host sent. */
    default void onSessionReply(SessionReply reply) {}

    /** Called when the incoming link of an origin was closed. */
    default void onOriginLost(HostId origin) {}
}
