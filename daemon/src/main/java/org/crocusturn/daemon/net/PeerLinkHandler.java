package org.crocusturn.daemon.net;

import org.crocusturn.core.PeerMessage;

/** Takes the events of links; called from I/O threads, so it must not block. */
public interface PeerLinkHandler {
    /** Tells that the other end proved that it belongs to the system. */
    void onOpen(PeerLink link);

    /** Takes a message. */
    void onMessage(PeerLink link, PeerMessage message);

    /** Tells that the link is closed; no message follows. */
    void onClosed(PeerLink link);
}
