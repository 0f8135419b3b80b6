package org.crocusturn.daemon.entryhosts;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.endpoints.EndpointCommand;
import org.crocusturn.core.operators.ControlCommand;

/** Connects the leader duty with its control host; called from the thread of the duty. */
public interface LeaderContext {
    /** Returns whether the leader lease of this host is valid now. */
    boolean isLeaderLeaseValid();

    /** Returns the host that leads as far as this one knows. */
    Optional<HostId> leaderHint();

    /** Proposes a command; its fate is seen when it is applied. */
    void propose(ControlCommand command);

    /** Sends a message over the link of an entry host, if there is one. */
    void send(HostId host, PeerMessage message);

    /** Sends a command to an endpoint; the result comes back as an event. */
    void sendCommand(String statusAddress, EndpointCommand command);

    /** Starts to watch an endpoint. */
    void watch(EndpointId endpoint, String statusAddress);

    /** Ends the watching of an endpoint. */
    void unwatch(EndpointId endpoint);

    /** Returns the control hosts in force. */
    List<Member> members();

    /**
     * Changes the consensus group if a change is due; a refused change is tried again later.
     *
     * @param joining hosts that asked to join lately, with their link addresses
     */
    void reconcileMembership(Map<HostId, String> joining, long nowNanos);

    /** Asks the leader to join if this host is left out of the consensus group. */
    void requestJoin(long nowNanos);
}
