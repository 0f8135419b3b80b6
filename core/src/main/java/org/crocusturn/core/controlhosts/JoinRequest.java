package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;

/**
 * Asks to be a member of the consensus group; any member passes it on to the leader.
 *
 * @param host host that asks
 * @param linkAddress IP address and port of its link
 */
public record JoinRequest(HostId host, String linkAddress) implements PeerMessage {
    /** Checks that no part is null. */
    public JoinRequest {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(linkAddress, "linkAddress");
    }
}
