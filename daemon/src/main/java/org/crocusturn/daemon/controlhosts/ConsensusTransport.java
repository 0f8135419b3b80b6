package org.crocusturn.daemon.controlhosts;

import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.ConsensusMessage;

/** Carries messages between control hosts; may lose, delay, repeat and reorder them. */
public interface ConsensusTransport {
    /** Sends a message without waiting; called from the consensus thread. */
    void send(HostId to, ConsensusMessage message);
}
