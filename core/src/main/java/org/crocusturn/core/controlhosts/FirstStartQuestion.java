package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.PeerMessage;

/**
 * Asks another control host whether the sender may start a new group with an empty log.
 *
 * @param startId id that the sender chose for its data folder and synced before it asked
 * @param members members named in the sender's settings
 */
public record FirstStartQuestion(long startId, Membership members) implements PeerMessage {
    /** Checks that the members are not null. */
    public FirstStartQuestion {
        Objects.requireNonNull(members, "members");
    }
}
