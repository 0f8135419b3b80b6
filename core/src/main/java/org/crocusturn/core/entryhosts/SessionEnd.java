package org.crocusturn.core.entryhosts;

import java.util.Objects;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.PeerMessage;

/**
 * Request to a leaseholder to roll back the open transaction of a session.
 *
 * @param session id of the session, unique within the process of the entry host
 * @param group group of the transaction
 */
public record SessionEnd(long session, GroupId group) implements PeerMessage {
    /** Checks that the group is not null. */
    public SessionEnd {
        Objects.requireNonNull(group, "group");
    }
}
