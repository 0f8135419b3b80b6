package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;

/**
 * Tells an entry host who leads: the sender of this message has received a report and does not
 * lead, or has become the leader.
 *
 * @param leader leader that the sender knows of, if any
 * @param term consensus term of that leader; 0 if there is none
 * @param members control hosts in force, because the settings of the entry host may not name the
 *     leader
 */
public record NotLeader(Optional<HostId> leader, long term, List<Member> members)
        implements PeerMessage {
    /** Copies the list. */
    public NotLeader {
        Objects.requireNonNull(leader, "leader");
        members = List.copyOf(members);
    }

    /** Creates a message that names no leader and no members. */
    public NotLeader() {
        this(Optional.empty(), 0, List.of());
    }
}
