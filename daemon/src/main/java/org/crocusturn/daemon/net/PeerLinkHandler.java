package org.crocusturn.daemon.net;

import org.crocusturn.core.PeerMessage;

/** Receives the events of links; called from I/O threads, so it must not block. */
public interface PeerLinkHandler {
    /** Called when the remote process is authenticated and the link accepts messages. */
    void onOpen(PeerLink link);

    /** Called for each received message. */
    void onMessage(PeerLink link, PeerMessage message);

    /** Called when the link is closed; no message follows. */
    void onClosed(PeerLink link);
}
