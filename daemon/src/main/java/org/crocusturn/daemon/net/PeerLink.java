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

    /**
     * Returns the time of the last bytes that arrived, in nanoseconds of the steady clock; the time
     * at which the link opened if there were none.
     */
    long lastBytesNanos();

    /** Closes the link. */
    void close();
}
