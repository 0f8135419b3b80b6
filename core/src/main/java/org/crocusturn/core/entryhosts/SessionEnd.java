package org.crocusturn.core.entryhosts;

import java.util.Objects;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.PeerMessage;

/**
 * Tells a leaseholder that the open transaction of a session is to be rolled back.
 *
 * @param session number of the session, unique within the process of the entry host
 * @param group group of the transaction
 */
public record SessionEnd(long session, GroupId group) implements PeerMessage {
    /** Checks that the group is not null. */
    public SessionEnd {
        Objects.requireNonNull(group, "group");
    }
}
