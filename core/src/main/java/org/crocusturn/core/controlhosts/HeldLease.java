package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.GroupId;

/**
 * Is what an entry host tells about a group lease that it holds.
 *
 * @param group the group
 * @param epoch epoch of the lease
 * @param droppedTerm greatest term for which it will acknowledge no more writes; 0 if none
 * @param released whether it closed all connections and gave the lease back
 * @param busy number of requests and open transactions that still run
 */
public record HeldLease(GroupId group, long epoch, long droppedTerm, boolean released, int busy) {
    /** Checks that the group is not null. */
    public HeldLease {
        Objects.requireNonNull(group, "group");
    }
}
