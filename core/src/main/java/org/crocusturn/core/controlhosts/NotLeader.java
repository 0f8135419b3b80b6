package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;

/**
 * Tells an entry host that the receiver of its report is not the leader.
 *
 * @param leader leader that the sender knows of, if any
 * @param members control hosts in force, because the settings of the entry host may not name the
 *     leader
 */
public record NotLeader(Optional<HostId> leader, List<Member> members) implements PeerMessage {
    /** Copies the list. */
    public NotLeader {
        Objects.requireNonNull(leader, "leader");
        members = List.copyOf(members);
    }

    /** Creates a message that names no members. */
    public NotLeader(Optional<HostId> leader) {
        this(leader, List.of());
    }
}
