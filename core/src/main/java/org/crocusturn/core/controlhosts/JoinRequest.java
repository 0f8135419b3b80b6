package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;

/**
 * Asks to join the consensus group; any member forwards the request to the leader.
 *
 * @param host host that wants to join
 * @param linkAddress IP address and port of its link
 */
public record JoinRequest(HostId host, String linkAddress) implements PeerMessage {
    /** Checks that no part is null. */
    public JoinRequest {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(linkAddress, "linkAddress");
    }
}
