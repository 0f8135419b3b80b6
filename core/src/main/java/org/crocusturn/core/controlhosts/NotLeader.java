package org.crocusturn.core.controlhosts;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;

/**
 * Tells an entry host that the receiver of its report does not lead.
 *
 * @param leader host that leads as far as the sender knows
 */
public record NotLeader(Optional<HostId> leader) implements PeerMessage {
    /** Checks that the hint is not null. */
    public NotLeader {
        Objects.requireNonNull(leader, "leader");
    }
}
