package org.crocusturn.daemon.net;

import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;

/** Authenticated connection to another process of the system. */
public interface PeerLink {
    /** Returns the remote host. */
    HostId peer();

    /**
     * Sends a message. Returns false without sending it if the link is closed or its write buffer
     * is full.
     */
    boolean send(PeerMessage message);

    /** Closes the link. */
    void close();
}
