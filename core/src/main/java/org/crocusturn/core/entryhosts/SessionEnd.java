package org.crocusturn.core.entryhosts;

import java.util.Objects;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.PeerMessage;

/**
 * Request to a leaseholder to end the work of a session: to roll back its open transaction, and to
 * refuse its statement if it has not been sent to an endpoint.
 *
 * @param session id of the session, unique within the process of the entry host
 * @param group group of the work
 */
public record SessionEnd(long session, GroupId group) implements PeerMessage {
    /** Checks that the group is not null. */
    public SessionEnd {
        Objects.requireNonNull(group, "group");
    }
}
