package org.crocusturn.daemon.net;

import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;

/** Is an authenticated connection to another process of the system. */
public interface PeerLink {
    /** Returns the host at the other end. */
    HostId peer();

    /**
     * Sends a message and returns true, or returns false if the link is closed or its buffer is
     * full; the message is then not sent.
     */
    boolean send(PeerMessage message);

    /** Closes the link. */
    void close();
}
