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

/** Gives the leader duty access to its control host. Called from the thread of the duty. */
public interface LeaderContext {
    /** Returns whether this host has a valid leader lease now. */
    boolean isLeaderLeaseValid();

    /** Returns the leader that this host knows, if any. */
    Optional<HostId> leaderHint();

    /** Returns the consensus term that this host knows. */
    long term();

    /** Sends a message to all hosts whose links to this host are open. */
    void sendToAll(PeerMessage message);

    /** Proposes a command. A committed one arrives as a {@link LeaderEvent.CommandApplied}. */
    void propose(ControlCommand command);

    /** Sends a message to an entry host, if its link is open. */
    void send(HostId host, PeerMessage message);

    /** Sends a command to an endpoint. The result arrives as an event. */
    void sendCommand(String statusAddress, EndpointCommand command);

    /** Starts to monitor the status of an endpoint. */
    void watch(EndpointId endpoint, String statusAddress);

    /** Stops monitoring an endpoint. */
    void unwatch(EndpointId endpoint);

    /** Returns the current members of the consensus group. */
    List<Member> members();

    /**
     * Proposes the next membership change, if one is due. A rejected change is proposed again
     * later.
     *
     * @param joining link addresses of the hosts that have recently asked to join
     * @param nowNanos current steady time in nanoseconds
     * @return whether a change was due, so that another one may follow it soon
     */
    boolean reconcileMembership(Map<HostId, String> joining, long nowNanos);

    /** Asks to join the consensus group if this host is not part of it or has no leader. */
    void requestJoin(long nowNanos);
}
