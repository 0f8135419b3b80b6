package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.PeerMessage;

/**
 * Asks another control host whether the sender may start a group with an empty log.
 *
 * @param startId number that the sender drew for its data folder and synced before it asked
 * @param members members that the sender's settings name
 */
public record FirstStartQuestion(long startId, Membership members) implements PeerMessage {
    /** Checks that the members are not null. */
    public FirstStartQuestion {
        Objects.requireNonNull(members, "members");
    }
}
