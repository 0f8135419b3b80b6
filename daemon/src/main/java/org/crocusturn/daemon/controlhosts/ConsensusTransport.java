package org.crocusturn.daemon.controlhosts;

import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.ConsensusMessage;

/** Sends messages between control hosts. They may be lost, delayed, repeated and reordered. */
public interface ConsensusTransport {
    /** Sends a message without blocking. Called from the consensus thread. */
    void send(HostId to, ConsensusMessage message);
}
